#pragma once

#include "cli/apiclient.h"
#include "core/sheet/sheet.h"

#include "api.pb.h"

#include <ostream>
#include <string>

namespace geraniumpaddle {

/// Reads and parses a CSV file. The size limit of the CSV codec applies.
/// \throws not_found_error, malformed_message_error
parsed_sheet readSheetFile(const std::string &Path);

/// The configuration that an entry returned, in the form that a sheet is
/// compared with.
class fetched_configuration {
public:
  /// \throws malformed_message_error
  explicit fetched_configuration(const proto::CustomerList &List);
  current_configuration view() const;

private:
  config_version Version{};
  log_offset LastSheet{};
  std::vector<customer_entry> Customers;
  std::vector<removed_customer> Removed;
};

/// Prints every error with line, column, value and reason.
void printSheetErrors(std::span<const sheet_error> Errors, std::ostream &Out);
void printDifference(const sheet_difference &Difference, std::ostream &Out);
/// Converts the change to the body of the API request.
proto::ChangeCustomers toMessage(const customers_changed &Change);

} // namespace geraniumpaddle
