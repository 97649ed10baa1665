#pragma once

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace geraniumpaddle::testing {

constexpr std::size_t DeepNesting = 100'000;

/// What another writer may put in place of a JSON value.
inline std::string oddValue(std::size_t Index) {
  static constexpr std::array<std::string_view, 20> Literals{
      "null",
      "true",
      "0",
      "-1",
      "1.5",
      "65536",
      "4294967296",
      "4503599627370496",
      "9223372036854775807",
      "9223372036854775808",
      "18446744073709551615",
      "99999999999999999999999",
      "-9223372036854775808",
      "1e300",
      R"("")",
      R"("10.0.0.1:65536")",
      "\"\xff\xfe\"",
      "[]",
      "{}",
      R"([[1,"x"],{"a":[]},null,-1])"};
  if (Index < Literals.size())
    return std::string(Literals.at(Index));
  return std::string(DeepNesting, '[') + std::string(DeepNesting, ']');
}
constexpr std::size_t OddValues = 21;

/// Calls \p Check with each document that differs from \p Valid in one value:
/// replaced by each odd one, left out, or given twice.
inline void
forEachOddDocument(std::string_view Valid,
                   const std::function<void(std::string_view)> &Check) {
  using json = nlohmann::json;
  const std::string Mark = "odd value";
  const std::string Quoted = json(Mark).dump();
  const json Whole = json::parse(Valid);
  const json Leaves = Whole.flatten();
  for (const auto &[Pointer, Leaf] : Leaves.items()) {
    for (json::json_pointer At(Pointer); !At.empty(); At.pop_back()) {
      json Marked = Whole;
      Marked[At] = Mark;
      const std::string Text = Marked.dump();
      const auto Replace = [&](const std::string &Value) {
        std::string Odd = Text;
        Check(Odd.replace(Odd.find(Quoted), Quoted.size(), Value));
      };
      for (std::size_t I = 0; I < OddValues; ++I)
        Replace(oddValue(I));
      json Without = Whole;
      json &Parent = Without[At.parent_pointer()];
      if (!Parent.is_object())
        continue;
      Replace(Parent[At.back()].dump() + ",\"" + At.back() + "\":7");
      Parent.erase(At.back());
      Check(Without.dump());
    }
  }
}

/// \p Valid with one byte changed, truncated, or with a part given twice.
inline std::string mutatedBytes(std::string Valid) {
  const auto Index = *rc::gen::inRange<std::size_t>(0, Valid.size());
  switch (*rc::gen::inRange(0, 3)) {
  case 0:
    Valid[Index] = *rc::gen::arbitrary<char>();
    break;
  case 1:
    Valid.resize(Index);
    break;
  default:
    Valid.insert(Index, Valid.substr(Index));
    break;
  }
  return Valid;
}

} // namespace geraniumpaddle::testing
