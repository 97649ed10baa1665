#include "cli/commandline.h"

#include "cli/exitcodes.h"
#include "cli/internal/textformat.h"
#include "cli/sheetcommands.h"
#include "cli/tableprinter.h"
#include "codec/tokenhash.h"

#include "api.pb.h"

#include <array>

namespace geraniumpaddle {

namespace {

std::string guaranteeText(const proto::CustomerConfig &Customer) {
  static constexpr auto Levels = std::to_array<std::string_view>(
      {"one", "two", "four", "eight", "worker", "rack"});
  std::string Text;
  for (const proto::Guarantee &Guarantee : Customer.guarantees()) {
    if (!Text.empty())
      Text += ' ';
    Text += std::to_string(Guarantee.count()) + 'x' +
            std::string(Levels[static_cast<std::size_t>(Guarantee.level())]);
  }
  return Text.empty() ? "-" : Text;
}

std::string numberText(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

std::string limitText(double Value) {
  return Value == 0 ? "unlimited" : numberText(Value);
}

} // namespace

int command_line::sheetCheck(arguments Arguments) {
  parsed_sheet Sheet = readSheetFile(Arguments[0]);
  if (Sheet.ok()) {
    Out << Sheet.Customers.size() << " customers, no errors\n";
    return ExitOk;
  }
  printSheetErrors(Sheet.Errors, Out);
  return exitCodeOf(error_kind::InvalidArgument);
}

int command_line::sheetDiff(arguments Arguments) {
  parsed_sheet Sheet = readSheetFile(Arguments[0]);
  if (!Sheet.ok()) {
    printSheetErrors(Sheet.Errors, Out);
    return exitCodeOf(error_kind::InvalidArgument);
  }
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  fetched_configuration Current(List);
  printDifference(compareSheet(Sheet.Customers, Current.view()), Out);
  return ExitOk;
}

int command_line::sheetApply(arguments Arguments) {
  parsed_sheet Sheet = readSheetFile(Arguments[0]);
  if (!Sheet.ok()) {
    printSheetErrors(Sheet.Errors, Out);
    return exitCodeOf(error_kind::InvalidArgument);
  }
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  fetched_configuration Current(List);
  sheet_plan Plan = planSheet(
      Sheet, Current.view(), {Options.AllowRemovals, Options.MaxChangedPercent},
      Arguments[0]);
  if (!Plan.ok()) {
    printSheetErrors(Plan.Errors, Out);
    return exitCodeOf(error_kind::InvalidArgument);
  }
  printDifference(Plan.Difference, Out);
  if (Plan.Difference.empty())
    return ExitOk;
  proto::ChangeCustomers Change = toMessage(Plan.Change);
  proto::ChangeAccepted Accepted;
  Client.send("PUT", "/v1/customers", &Change, Accepted);
  Out << "in force as version " << Accepted.version() << " at offset "
      << Accepted.offset() << '\n';
  return ExitOk;
}

int command_line::configShow(arguments) {
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  if (printJson(List))
    return ExitOk;
  Out << "version " << List.version() << ", made by offset "
      << List.version_offset() << ", last sheet at offset " << List.last_sheet()
      << ", " << List.customers_size() << " customers\n";
  return customersList({});
}

int command_line::configHistory(arguments) {
  proto::AuditList List;
  Client.get("/v1/audit?since=" + std::to_string(Options.Since), List);
  table_printer Table(
      {"OFFSET", "TIME", "ACTOR", "VERDICT", "WINNER", "DETAIL"});
  for (const proto::AuditEvent &Event : List.events())
    if (Event.kind() == "customers_changed")
      Table.add({std::to_string(Event.offset()), timeText(Event.at_ms()),
                 Event.actor(), Event.verdict(),
                 Event.winner() ? std::to_string(Event.winner()) : "-",
                 Event.detail()});
  if (!printJson(List))
    Table.print(Out);
  return ExitOk;
}

int command_line::customersList(arguments) {
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  if (printJson(List))
    return ExitOk;
  table_printer Table({"CUSTOMER", "NAME", "GUARANTEED", "MAX ACCELERATORS",
                       "RATE/S", "IN FLIGHT", "TOKEN"});
  for (const proto::CustomerConfig &Customer : List.customers())
    Table.add({Customer.id(), Customer.display_name(), guaranteeText(Customer),
               limitText(Customer.max_accelerators()),
               limitText(Customer.limits().rate_per_second()),
               limitText(Customer.limits().in_flight()),
               Customer.token_hash().empty() ? "none" : "set"});
  Table.print(Out);
  return ExitOk;
}

int command_line::tokenHash(arguments Arguments) {
  Out << hashToken(Arguments[0]) << '\n';
  return ExitOk;
}

int command_line::customersSetToken(arguments Arguments) {
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  proto::ChangeCustomers Change;
  Change.set_base(List.version());
  Change.set_source_detail("customers set-token");
  for (const proto::CustomerConfig &Customer : List.customers())
    if (Customer.id() == Arguments[0])
      *Change.add_put() = Customer;
  if (Change.put().empty())
    throw not_found_error("no customer " + Arguments[0]);
  Change.mutable_put(0)->set_token_hash(hashToken(Arguments[1]));
  proto::ChangeAccepted Accepted;
  Client.send("PUT", "/v1/customers", &Change, Accepted);
  Out << "in force as version " << Accepted.version() << '\n';
  return ExitOk;
}

} // namespace geraniumpaddle
