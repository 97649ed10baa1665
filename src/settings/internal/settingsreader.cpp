#include "settings/settingsreader.h"

#include "settings/internal/settingsschema.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace geraniumpaddle {

namespace {

template <typename Enum> struct named_value {
  std::string_view Name;
  Enum Value;
};

constexpr auto RoleNames =
    std::to_array<named_value<node_role>>({{"entry", node_role::Entry},
                                           {"agent", node_role::Agent},
                                           {"job_entry", node_role::JobEntry},
                                           {"job_agent", node_role::JobAgent}});
constexpr auto ObjectiveNames = std::to_array<named_value<objective_setting>>(
    {{"completion_time", objective_setting::CompletionTime},
     {"fragmentation", objective_setting::Fragmentation}});
constexpr auto FormatNames = std::to_array<named_value<log_format_setting>>(
    {{"key_value", log_format_setting::KeyValue},
     {"json", log_format_setting::Json}});
constexpr std::array<std::string_view, 5> Severities = {
    "trace", "debug", "info", "warning", "error"};

template <typename Enum, std::size_t Size>
std::optional<Enum> valueOf(const std::array<named_value<Enum>, Size> &Names,
                            std::string_view Name) {
  auto Found = std::find_if(Names.begin(), Names.end(), [&](const auto &Entry) {
    return Entry.Name == Name;
  });
  if (Found == Names.end())
    return std::nullopt;
  return Found->Value;
}

template <typename Enum, std::size_t Size>
std::string_view nameOf(const std::array<named_value<Enum>, Size> &Names,
                        Enum Value) {
  auto Found = std::find_if(Names.begin(), Names.end(), [&](const auto &Entry) {
    return Entry.Value == Value;
  });
  return Found->Name;
}

template <typename Enum, std::size_t Size>
std::string choiceProblem(const std::array<named_value<Enum>, Size> &Names) {
  std::string Text = "is none of";
  for (const auto &Entry : Names)
    Text.append(" ").append(Entry.Name);
  return Text;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

bool isIpv4(std::string_view Host) {
  int Parts = 0;
  while (true) {
    auto Dot = Host.find('.');
    auto Part = parseNumber<std::int64_t>(Host.substr(0, Dot));
    if (!Part || *Part < 0 || *Part > 255)
      return false;
    ++Parts;
    if (Dot == std::string_view::npos)
      return Parts == 4;
    Host.remove_prefix(Dot + 1);
  }
}

bool isAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  auto Port = parseNumber<std::int64_t>(Text.substr(Colon + 1));
  return Port && *Port >= 0 && *Port <= 65535 && isIpv4(Text.substr(0, Colon));
}

bool isName(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return std::isalnum(static_cast<unsigned char>(C)) || C == '-' ||
           C == '_' || C == '.';
  });
}

/// How \p Text violates \p Rule; empty if it does not.
std::string_view problemWith(value_rule Rule, std::string_view Text) {
  switch (Rule) {
  case value_rule::None:
    return "";
  case value_rule::Name:
    return isName(Text) ? "" : "is not a name (letters, digits, - _ .)";
  case value_rule::Address:
    return isAddress(Text) ? "" : "is not an address of the form ip:port";
  case value_rule::OptionalAddress:
    return Text.empty() || isAddress(Text)
               ? ""
               : "is not an address of the form ip:port";
  case value_rule::Path:
    return Text.empty() || Text.front() == '/' ? "" : "does not begin with '/'";
  case value_rule::Severity:
    return std::find(Severities.begin(), Severities.end(), Text) !=
                   Severities.end()
               ? ""
               : "is none of trace debug info warning error";
  case value_rule::SaltedHash:
    return Text.empty() || Text.find('$') != std::string_view::npos
               ? ""
               : "is not a salted hash";
  }
  return "";
}

/// Parses and validates one document according to the schema.
class reader {
public:
  explicit reader(std::string_view File) : File(File) {}

  settings read(std::string_view Yaml) {
    YAML::Node Root = load(Yaml);
    if (!Root.IsMap())
      fail(Root, "", "the document is not a map");
    collect(Root, "");
    for (const setting_field &Field : settingsSchema())
      readField(Field);
    checkRequiredKeys();
    checkCombinations();
    return Values;
  }

private:
  [[noreturn]] void fail(int Line, std::string_view Key,
                         std::string_view Problem) const {
    throw settings_error(File, Line, Key, Problem);
  }
  [[noreturn]] void fail(const YAML::Node &Node, std::string_view Key,
                         std::string_view Problem) const {
    fail(Node.Mark().line + 1, Key, Problem);
  }

  YAML::Node load(std::string_view Yaml) const {
    try {
      return YAML::Load(std::string(Yaml));
    } catch (const YAML::Exception &Failure) {
      fail(Failure.mark.line + 1, "", "is not valid YAML: " + Failure.msg);
    }
  }

  static bool isSection(std::string_view Key) {
    std::string Prefix = std::string(Key) + ".";
    auto Schema = settingsSchema();
    return std::any_of(Schema.begin(), Schema.end(), [&](const auto &Field) {
      return Field.Key.starts_with(Prefix);
    });
  }

  static bool isField(std::string_view Key) {
    auto Schema = settingsSchema();
    return std::any_of(Schema.begin(), Schema.end(),
                       [&](const auto &Field) { return Field.Key == Key; });
  }

  void collect(const YAML::Node &Map, const std::string &Prefix) {
    for (const auto &Entry : Map) {
      std::string Key = Prefix + Entry.first.as<std::string>("");
      if (isField(Key)) {
        if (!ValueNodes.emplace(Key, Entry.second).second)
          fail(Entry.first, Key, "appears twice");
      } else if (isSection(Key)) {
        if (!Entry.second.IsMap())
          fail(Entry.first, Key, "is a section and needs keys below it");
        collect(Entry.second, Key + ".");
      } else {
        fail(Entry.first, Key, "is not a known key");
      }
    }
  }

  void readField(const setting_field &Field) {
    auto Found = ValueNodes.find(Field.Key);
    if (Found == ValueNodes.end())
      return;
    std::visit(
        [&](auto Member) { readInto(Field, Found->second, Values.*Member); },
        Field.Member);
  }

  std::string scalar(const setting_field &Field, const YAML::Node &Node) const {
    if (!Node.IsScalar())
      fail(Node, Field.Key, "needs a single value");
    return Node.Scalar();
  }

  std::string checkedText(const setting_field &Field,
                          const YAML::Node &Node) const {
    std::string Text = scalar(Field, Node);
    std::string_view Problem = problemWith(Field.Rule, Text);
    if (!Problem.empty())
      fail(Node, Field.Key,
           (Field.Secret ? "value " : "'" + Text + "' ") +
               std::string(Problem));
    return Text;
  }

  std::int64_t checkedNumber(const setting_field &Field,
                             const YAML::Node &Node) const {
    std::string Text = scalar(Field, Node);
    auto Value = parseNumber<std::int64_t>(Text);
    if (!Value)
      fail(Node, Field.Key, "'" + Text + "' is not a whole number");
    if (*Value < Field.Min || *Value > Field.Max)
      fail(Node, Field.Key,
           Text + " is not between " + std::to_string(Field.Min) + " and " +
               std::to_string(Field.Max));
    return *Value;
  }

  double checkedDecimal(const setting_field &Field,
                        const YAML::Node &Node) const {
    const std::string Text = scalar(Field, Node);
    const auto Value = parseNumber<double>(Text);
    if (!Value)
      fail(Node, Field.Key, "'" + Text + "' is not a number");
    if (*Value <= static_cast<double>(Field.Min) ||
        *Value > static_cast<double>(Field.Max))
      fail(Node, Field.Key,
           Text + " is not above " + std::to_string(Field.Min) +
               " and at most " + std::to_string(Field.Max));
    return *Value;
  }

  template <typename Enum, std::size_t Size>
  Enum checkedChoice(const setting_field &Field, const YAML::Node &Node,
                     const std::array<named_value<Enum>, Size> &Names) const {
    std::string Text = scalar(Field, Node);
    auto Value = valueOf(Names, Text);
    if (!Value)
      fail(Node, Field.Key, "'" + Text + "' " + choiceProblem(Names));
    return *Value;
  }

  void readInto(const setting_field &Field, const YAML::Node &Node,
                std::string &Target) const {
    Target = checkedText(Field, Node);
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                std::int64_t &Target) const {
    Target = checkedNumber(Field, Node);
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                double &Target) const {
    Target = checkedDecimal(Field, Node);
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                std::chrono::milliseconds &Target) const {
    Target = std::chrono::milliseconds(checkedNumber(Field, Node));
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                std::vector<std::string> &Target) const {
    if (!Node.IsSequence())
      fail(Node, Field.Key, "needs a list");
    Target.clear();
    for (const YAML::Node &Item : Node)
      Target.push_back(checkedText(Field, Item));
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                node_role &Target) const {
    Target = checkedChoice(Field, Node, RoleNames);
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                objective_setting &Target) const {
    Target = checkedChoice(Field, Node, ObjectiveNames);
  }
  void readInto(const setting_field &Field, const YAML::Node &Node,
                log_format_setting &Target) const {
    Target = checkedChoice(Field, Node, FormatNames);
  }

  static bool isRequiredFor(node_role Role, required_by RequiredBy) {
    const bool IsJobRole =
        Role == node_role::JobEntry || Role == node_role::JobAgent;
    switch (RequiredBy) {
    case required_by::NoRole:
      return false;
    case required_by::Entry:
      return Role == node_role::Entry;
    case required_by::Agent:
      return Role == node_role::Agent;
    case required_by::EntryAndAgent:
      return !IsJobRole;
    case required_by::JobEntry:
      return Role == node_role::JobEntry;
    case required_by::JobAgent:
      return Role == node_role::JobAgent;
    case required_by::JobRoles:
      return IsJobRole;
    case required_by::AllRoles:
      return true;
    }
    return false;
  }

  void checkRequiredKeys() const {
    for (const setting_field &Field : settingsSchema())
      if (isRequiredFor(Values.Role, Field.RequiredBy) &&
          !ValueNodes.contains(Field.Key))
        fail(1, Field.Key, "is missing");
  }

  static bool samePort(std::string_view First, std::string_view Second) {
    return First == Second && !First.ends_with(":0");
  }

  void checkCombinations() const {
    if (samePort(Values.PeerListen, Values.HttpListen))
      fail(ValueNodes.find("listen.http")->second, "listen.http",
           "'" + Values.HttpListen + "' is also listen.peer");
    if (!Values.Service.empty() && Values.EndpointAddress.empty())
      fail(ValueNodes.find("agent.endpoint.service")->second,
           "agent.endpoint.address", "is missing but a service is named");
  }

  std::string File;
  settings Values;
  std::map<std::string, YAML::Node, std::less<>> ValueNodes;
};

/// Prints one document in the order of the schema.
class printer {
public:
  explicit printer(const settings &Values) : Values(Values) {}

  std::string print() {
    for (const setting_field &Field : settingsSchema())
      printField(Field);
    return Out.str();
  }

private:
  /// Prints the headings of the sections of \p Key that are not open yet.
  /// \returns the last part of the key.
  std::string_view openSections(std::string_view Key) {
    std::size_t Depth = 0;
    while (true) {
      auto Dot = Key.find('.');
      if (Dot == std::string_view::npos)
        break;
      std::string_view Part = Key.substr(0, Dot);
      if (Depth >= Open.size() || Open[Depth] != Part) {
        Open.resize(Depth);
        Out << std::string(2 * Depth, ' ') << Part << ":\n";
        Open.push_back(Part);
      }
      ++Depth;
      Key.remove_prefix(Dot + 1);
    }
    Open.resize(Depth);
    return Key;
  }

  void printField(const setting_field &Field) {
    std::string_view Name = openSections(Field.Key);
    Out << std::string(2 * Open.size(), ' ') << Name << ": ";
    if (Field.Secret)
      Out << "\"\"";
    else
      std::visit([&](auto Member) { printValue(Values.*Member); },
                 Field.Member);
    Out << "  # " << Field.Comment << "\n";
  }

  void printValue(const std::string &Value) { Out << '"' << Value << '"'; }
  void printValue(std::int64_t Value) { Out << Value; }
  void printValue(double Value) { Out << Value; }
  void printValue(std::chrono::milliseconds Value) { Out << Value.count(); }
  void printValue(const std::vector<std::string> &Value) {
    Out << '[';
    for (std::size_t I = 0; I < Value.size(); ++I)
      Out << (I ? ", " : "") << '"' << Value[I] << '"';
    Out << ']';
  }
  void printValue(node_role Value) { Out << nameOf(RoleNames, Value); }
  void printValue(objective_setting Value) {
    Out << nameOf(ObjectiveNames, Value);
  }
  void printValue(log_format_setting Value) {
    Out << nameOf(FormatNames, Value);
  }

  const settings &Values;
  std::ostringstream Out;
  std::vector<std::string_view> Open;
};

std::string describe(std::string_view File, int Line, std::string_view Key,
                     std::string_view Problem) {
  std::string Text(File);
  Text.append(":").append(std::to_string(Line)).append(": ");
  if (!Key.empty())
    Text.append(Key).append(": ");
  return Text.append(Problem);
}

} // namespace

settings_error::settings_error(std::string_view File, int Line,
                               std::string_view Key, std::string_view Problem)
    : error(error_kind::InvalidSettings, describe(File, Line, Key, Problem)),
      Line(Line), Key(Key) {}

settings readSettings(std::string_view Yaml, std::string_view File) {
  return reader(File).read(Yaml);
}

settings readSettingsFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    throw settings_error(Path, 0, "", "cannot be read");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return readSettings(Text.str(), Path);
}

std::string printSettings(const settings &Values) {
  return printer(Values).print();
}

} // namespace geraniumpaddle
