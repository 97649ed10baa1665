#include "cli/tableprinter.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

table_printer::table_printer(std::vector<std::string> Heading) {
  Rows.push_back(std::move(Heading));
}

void table_printer::add(std::vector<std::string> Row) {
  Row.resize(Rows.front().size());
  Rows.push_back(std::move(Row));
}

void table_printer::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + 2, ' ');
    }
    Out << Line << '\n';
  }
}

} // namespace geraniumpaddle
