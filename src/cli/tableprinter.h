#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Prints rows under a heading, each column as wide as its widest cell.
class table_printer {
public:
  explicit table_printer(std::vector<std::string> Heading);

  void add(std::vector<std::string> Row);
  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace geraniumpaddle
