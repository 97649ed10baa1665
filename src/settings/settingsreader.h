#pragma once

#include "core/base/error.h"
#include "settings/types/settings.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// A settings file that does not follow the schema. The message is one line
/// that names file, line and key.
class settings_error : public error {
public:
  settings_error(std::string_view File, int Line, std::string_view Key,
                 std::string_view Problem);
  int line() const { return Line; }
  const std::string &key() const { return Key; }

private:
  int Line;
  std::string Key;
};

/// Parses and checks \p Yaml. Every key has to be in the schema, every value
/// has to have its type and range, and what the role needs has to be there.
/// \param File name for error messages.
/// \throws settings_error
settings readSettings(std::string_view Yaml, std::string_view File);

/// Reads and checks the file at \p Path. \throws settings_error
settings readSettingsFile(const std::string &Path);

/// \p Values as a YAML document with a comment on each key.
std::string printSettings(const settings &Values);

} // namespace geraniumpaddle
