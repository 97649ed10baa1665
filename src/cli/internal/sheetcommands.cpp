#include "cli/sheetcommands.h"

#include "cli/tableprinter.h"
#include "codec/csvreader.h"
#include "codec/protoconvert.h"

#include <fstream>
#include <sstream>

namespace geraniumpaddle {

namespace {

change_origin originOf(const proto::ChangeOrigin &Message) {
  return {log_offset{Message.offset()},
          wall_time(std::chrono::milliseconds(Message.at_ms())),
          actor_id(Message.actor()),
          Message.source() == proto::CHANGE_SOURCE_SHEET
              ? change_source::Sheet
              : change_source::Command};
}

std::string_view verbOf(undo_kind Kind) {
  switch (Kind) {
  case undo_kind::Change:
    return "a change";
  case undo_kind::Addition:
    return "the addition";
  case undo_kind::Removal:
    return "the removal";
  }
  return "";
}

} // namespace

parsed_sheet readSheetFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    throw not_found_error("cannot read " + Path);
  std::ostringstream Bytes;
  Bytes << Stream.rdbuf();
  return parseSheet(readCsv(Bytes.str()));
}

fetched_configuration::fetched_configuration(const proto::CustomerList &List)
    : Version{List.version()}, LastSheet{List.last_sheet()} {
  for (int I = 0; I < List.customers_size(); ++I)
    Customers.push_back(
        {fromProto(List.customers(I)), I < List.last_changes_size()
                                           ? originOf(List.last_changes(I))
                                           : change_origin{}});
  for (const proto::RemovedCustomer &Message : List.removed())
    Removed.push_back({customer_id(Message.id()), originOf(Message.removal())});
}

current_configuration fetched_configuration::view() const {
  return {Version, Customers, Removed, LastSheet};
}

void printSheetErrors(std::span<const sheet_error> Errors, std::ostream &Out) {
  table_printer Table({"LINE", "COLUMN", "VALUE", "REASON"});
  for (const sheet_error &Error : Errors)
    Table.add({Error.Line ? std::to_string(Error.Line) : "-", Error.Column,
               Error.Value, Error.Message});
  Table.print(Out);
}

void printDifference(const sheet_difference &Difference, std::ostream &Out) {
  if (Difference.empty())
    Out << "the sheet changes nothing\n";
  for (const customer_id &Customer : Difference.Added)
    Out << "+ " << Customer.view() << '\n';
  for (const customer_difference &Changed : Difference.Changed)
    for (const field_change &Field : Changed.Fields)
      Out << "~ " << Changed.Customer.view() << ' ' << name(Field.Field) << ": "
          << Field.Before << " -> " << Field.After << '\n';
  for (const customer_id &Customer : Difference.Removed)
    Out << "- " << Customer.view() << '\n';
  for (const undone_command &Undone : Difference.Undone)
    Out << "! undoes " << verbOf(Undone.Kind) << " of "
        << Undone.Customer.view() << " by " << Undone.Origin.Actor.view()
        << " at offset " << raw(Undone.Origin.Offset) << '\n';
}

proto::ChangeCustomers toMessage(const customers_changed &Change) {
  proto::ChangeCustomers Out;
  Out.set_base(raw(Change.Base));
  for (const customer_config &Config : Change.Put)
    *Out.add_put() = toProto(Config);
  for (const customer_id &Customer : Change.Removed)
    Out.add_removed(Customer.str());
  Out.set_source(Change.Source == change_source::Sheet
                     ? proto::CHANGE_SOURCE_SHEET
                     : proto::CHANGE_SOURCE_COMMAND);
  Out.set_source_detail(Change.SourceDetail);
  return Out;
}

} // namespace geraniumpaddle
