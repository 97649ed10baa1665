#pragma once

#include "core/ledger/types/record.h"
#include "core/ledger/types/state.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// One row of the sheet, with the line on which it starts.
struct sheet_row {
  std::uint32_t Line = 0; ///< 1 for the first line of the file
  std::vector<std::string> Cells;
};

enum class sheet_problem : std::uint8_t {
  EmptySheet,
  MissingColumn,
  UnknownColumn,
  DuplicateColumn,
  MissingCell,
  ExtraCell,
  EmptyCustomer,
  InvalidCustomer, ///< not a-z, 0-9, '-', '_', '.', or too long
  DuplicateCustomer,
  NotANumber,
  NotAnInteger,
  AmbiguousNumber, ///< "1.000" is 1000 or 1, depending on the locale
  Negative,
  TooLarge,
  TextTooLong,
  InvalidText,         ///< control characters or invalid UTF-8
  BurstWithoutRate,    ///< a burst requires a rate
  GuaranteeAboveLimit, ///< the guarantees exceed max_accelerators
  RemovalNotAllowed,   ///< a customer in force is not in the sheet
  TooManyChanges,      ///< above sheet_rules::MaxChangedPercent
};

/// Stable lower-case name of \p Problem.
std::string_view name(sheet_problem Problem);

/// An error in a cell, in a row or in the sheet as a whole.
struct sheet_error {
  std::uint32_t Line = 0; ///< 0 if it concerns the whole sheet
  std::string Column;     ///< empty if it concerns the whole row
  std::string Value;      ///< as in the sheet, truncated
  sheet_problem Problem = sheet_problem::EmptySheet;
  std::string Message; ///< human-readable

  friend bool operator==(const sheet_error &, const sheet_error &) = default;
};

/// The customers of a sheet, or all errors found in it.
struct parsed_sheet {
  std::vector<customer_config> Customers; ///< by id; no token hashes
  std::vector<sheet_error> Errors;

  bool ok() const { return Errors.empty(); }
};

/// Reads \p Rows, the first of which names the columns: `customer`,
/// `display_name`, `guarantee_one` to `guarantee_eight`, `guarantee_worker`,
/// `guarantee_rack`, `rate_per_second`, `burst`, `in_flight` and
/// `max_accelerators`, each exactly once and in any order. Empty rows are
/// skipped; an empty guarantee cell means none; a rate may use a decimal comma.
parsed_sheet parseSheet(std::span<const sheet_row> Rows);

enum class customer_field : std::uint8_t {
  DisplayName,
  GuaranteeOne,
  GuaranteeTwo,
  GuaranteeFour,
  GuaranteeEight,
  GuaranteeWorker,
  GuaranteeRack,
  RatePerSecond,
  Burst,
  InFlight,
  MaxAccelerators,
};

/// Column name of \p Field.
std::string_view name(customer_field Field);

struct field_change {
  customer_field Field = customer_field::DisplayName;
  std::string Before;
  std::string After;

  friend bool operator==(const field_change &, const field_change &) = default;
};

/// A customer whose fields differ from those in force.
struct customer_difference {
  customer_id Customer;
  std::vector<field_change> Fields;
};

enum class undo_kind : std::uint8_t { Change, Addition, Removal };

/// An operator's command, issued after the last sheet, that applying this sheet
/// would undo.
struct undone_command {
  customer_id Customer;
  undo_kind Kind = undo_kind::Change;
  change_origin Origin;
};

/// Changes that applying a sheet would make.
struct sheet_difference {
  std::vector<customer_id> Added;
  std::vector<customer_difference> Changed;
  std::vector<customer_id> Removed;
  std::vector<undone_command> Undone;

  bool empty() const {
    return Added.empty() && Changed.empty() && Removed.empty();
  }
};

/// The configuration that a sheet is compared with.
struct current_configuration {
  config_version Version{};
  std::span<const customer_entry> Customers; ///< by id
  std::span<const removed_customer> RemovedByCommand;
  log_offset LastSheet{};
};

/// Limits on the changes that one sheet may make.
struct sheet_rules {
  bool AllowRemovals = false;
  /// Limit on added, changed and removed customers, in percent of the customers
  /// in force; 100 or more: no limit.
  std::uint32_t MaxChangedPercent = 50;
};

/// Compares the sheet's customers with those in force.
sheet_difference compareSheet(std::span<const customer_config> Wanted,
                              const current_configuration &Current);

/// The change that applies the whole sheet, or the errors that prevent it.
struct sheet_plan {
  sheet_difference Difference;
  customers_changed Change; ///< only if ok()
  std::vector<sheet_error> Errors;

  bool ok() const { return Errors.empty(); }
};

/// Plans the change from \p Current to \p Sheet. Errors of \p Sheet become
/// errors of the plan. Fields that are not columns keep their value.
/// \param SourceDetail identifies the sheet in the audit trail.
sheet_plan planSheet(const parsed_sheet &Sheet,
                     const current_configuration &Current,
                     const sheet_rules &Rules, std::string_view SourceDetail);

} // namespace geraniumpaddle
