#pragma once

#include "core/base/error.h"
#include "settings/types/settings.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Thrown for a settings file that does not follow the schema. The message is
/// one line with the file, line and key.
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

/// Parses and validates \p Yaml: every key is in the schema, every value has
/// the right type and range, and no key that the role requires is missing.
/// \param File name for error messages.
/// \throws settings_error
settings readSettings(std::string_view Yaml, std::string_view File);

/// Reads and validates the file at \p Path. \throws settings_error
settings readSettingsFile(const std::string &Path);

/// Prints \p Values as a YAML document with a comment on each key. Secrets are
/// left empty.
std::string printSettings(const settings &Values);

} // namespace geraniumpaddle
