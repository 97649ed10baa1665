# Sourced by the run.sh of a case, in the case's folder: plays its scenario.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
root=$(cd ../.. && pwd)
daemon=$root/target/src/daemon/geraniumpaddled
store=$root/build-review/project/standins/store/gp_standin_store
scenario=$root/build-review/scenario$(basename "$PWD")
for program in "$daemon" "$store" "$scenario"; do
  if [ ! -x "$program" ]; then
    echo "not built: $program" >&2
    exit 2
  fi
done
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
result=0
"$scenario" "$daemon" "$store" "$temporary" "$PWD/record.txt" || result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
