#include "logging/logging.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_feature.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <string>

namespace geraniumpaddle {

namespace {

namespace blog = boost::log;

using stream_backend = blog::sinks::text_ostream_backend;

/// Boost.Log backend that passes formatted lines to an ilog_output.
class output_backend final : public blog::sinks::basic_formatted_sink_backend<
                                 char, blog::sinks::synchronized_feeding> {
public:
  explicit output_backend(ilog_output &Output) : Output(Output) {}

  void consume(const blog::record_view &, const string_type &Line) {
    Output.write(Line + '\n');
  }

private:
  ilog_output &Output;
};

using event_fields = const std::initializer_list<log_field> *;

constexpr std::array<std::string_view, 4> SeverityNames{"debug", "info",
                                                        "warning", "error"};

/// Writes the fields of one line; each format has a subclass.
class field_writer {
public:
  explicit field_writer(blog::formatting_ostream &Out) : Out(Out) {}
  virtual ~field_writer() = default;
  virtual void text(std::string_view Name, std::string_view Value) = 0;
  virtual void number(std::string_view Name, std::uint64_t Value) = 0;
  virtual void number(std::string_view Name, std::int64_t Value) = 0;
  virtual void end() {}

protected:
  /// Writes \p Value in quotes, with quotes and control characters escaped.
  void quote(std::string_view Value) {
    Out << '"';
    for (const char Each : Value) {
      quoteCharacter(Each);
    }
    Out << '"';
  }

  blog::formatting_ostream &Out;

private:
  void quoteCharacter(char Each) {
    constexpr unsigned char FirstPrintable = 0x20;
    if (Each == '"' || Each == '\\') {
      Out << '\\' << Each;
    } else if (static_cast<unsigned char>(Each) < FirstPrintable) {
      std::array<char, 8> Escape{};
      std::snprintf(Escape.data(), Escape.size(), "\\u%04x", Each);
      Out << Escape.data();
    } else {
      Out << Each;
    }
  }
};

class key_value_writer final : public field_writer {
public:
  using field_writer::field_writer;

  void text(std::string_view Name, std::string_view Value) override {
    separate();
    Out << Name << '=';
    const bool Plain =
        !Value.empty() && Value.find_first_of(" \t\r\n\"\\=") == Value.npos;
    if (Plain) {
      Out << Value;
    } else {
      quote(Value);
    }
  }
  void number(std::string_view Name, std::uint64_t Value) override {
    separate();
    Out << Name << '=' << Value;
  }
  void number(std::string_view Name, std::int64_t Value) override {
    separate();
    Out << Name << '=' << Value;
  }

private:
  void separate() {
    if (!First) {
      Out << ' ';
    }
    First = false;
  }

  bool First = true;
};

class json_writer final : public field_writer {
public:
  using field_writer::field_writer;

  void text(std::string_view Name, std::string_view Value) override {
    key(Name);
    quote(Value);
  }
  void number(std::string_view Name, std::uint64_t Value) override {
    key(Name);
    Out << Value;
  }
  void number(std::string_view Name, std::int64_t Value) override {
    key(Name);
    Out << Value;
  }
  void end() override { Out << '}'; }

private:
  void key(std::string_view Name) {
    Out << (First ? '{' : ',');
    First = false;
    quote(Name);
    Out << ':';
  }

  bool First = true;
};

/// Writes the value of one field of an event.
struct value_writer {
  field_writer &Line;
  std::string_view Name;

  void operator()(std::string_view Value) const { Line.text(Name, Value); }
  void operator()(std::int64_t Value) const { Line.number(Name, Value); }
};

std::string formatCurrentTime() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  tm Parts{};
  gmtime_r(&Now.tv_sec, &Parts);
  std::array<char, 40> Text{};
  const auto Size =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  constexpr long NanosecondsPerMillisecond = 1'000'000;
  std::snprintf(Text.data() + Size, Text.size() - Size, ".%03ldZ",
                Now.tv_nsec / NanosecondsPerMillisecond);
  return Text.data();
}

void writeText(field_writer &Writer, const blog::record_view &Record,
               const char *Name) {
  if (const auto Value = blog::extract<std::string>(Name, Record)) {
    Writer.text(Name, *Value);
  }
}

void writeNumber(field_writer &Writer, const blog::record_view &Record,
                 const char *Name) {
  if (const auto Value = blog::extract<std::uint64_t>(Name, Record)) {
    Writer.number(Name, *Value);
  }
}

template <typename Writer>
void formatRecord(const blog::record_view &Record,
                  blog::formatting_ostream &Out) {
  Writer Line(Out);
  const auto Severity = blog::extract<log_severity>("Severity", Record);
  Line.text("time", formatCurrentTime());
  Line.text("severity", SeverityNames.at(static_cast<std::size_t>(
                            Severity ? *Severity : log_severity::Info)));
  writeText(Line, Record, "component");
  if (const auto Text = Record[blog::expressions::smessage]) {
    Line.text("message", *Text);
  }
  writeText(Line, Record, "customer");
  writeText(Line, Record, "job");
  writeNumber(Line, Record, "attempt");
  writeNumber(Line, Record, "offset");
  if (const auto Fields = blog::extract<event_fields>("fields", Record))
    for (const log_field &Field : **Fields)
      std::visit(value_writer{Line, Field.Name}, Field.Value);
  Line.end();
}

using format_function = void (*)(const blog::record_view &,
                                 blog::formatting_ostream &);
constexpr std::array<format_function, 2> Formats{
    &formatRecord<key_value_writer>, &formatRecord<json_writer>};

/// Adds an attribute to one record unless \p Value is empty.
void addText(blog::attribute_set &Attributes, const char *Name,
             std::string_view Value) {
  if (!Value.empty()) {
    Attributes.insert(
        Name, blog::attributes::constant<std::string>(std::string(Value)));
  }
}

void addNumber(blog::attribute_set &Attributes, const char *Name,
               std::uint64_t Value) {
  if (Value != 0) {
    Attributes.insert(Name, blog::attributes::constant<std::uint64_t>(Value));
  }
}

template <typename Target>
void addSink(const boost::shared_ptr<Target> &Backend,
             const logging_settings &Settings) {
  using sink = blog::sinks::synchronous_sink<Target>;
  const auto Sink = boost::make_shared<sink>(Backend);
  Sink->set_formatter(Formats.at(static_cast<std::size_t>(Settings.Format)));
  const auto Threshold = Settings.Threshold;
  Sink->set_filter([Threshold](const blog::attribute_value_set &Values) {
    const auto Severity = blog::extract<log_severity>("Severity", Values);
    return !Severity || *Severity >= Threshold;
  });
  blog::core::get()->remove_all_sinks();
  blog::core::get()->add_sink(Sink);
}

} // namespace

void startLogging(const logging_settings &Settings) {
  if (Settings.Output) {
    addSink(boost::make_shared<output_backend>(*Settings.Output), Settings);
    return;
  }
  const auto Backend = boost::make_shared<stream_backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  Backend->auto_flush(true);
  addSink(Backend, Settings);
}

void logger::write(log_severity Severity, std::string_view Name,
                   std::initializer_list<log_field> Fields) const {
  blog::attribute_set Attributes;
  Attributes.insert("Severity",
                    blog::attributes::constant<log_severity>(Severity));
  addText(Attributes, "component", Component);
  Attributes.insert("fields",
                    blog::attributes::constant<event_fields>(&Fields));
  const auto Core = blog::core::get();
  if (blog::record Record = Core->open_record(Attributes)) {
    blog::record_ostream Out(Record);
    Out << Name;
    Out.flush();
    Core->push_record(std::move(Record));
  }
}

void logger::write(log_severity Severity, std::string_view Message,
                   const log_context &Context) const {
  blog::attribute_set Attributes;
  Attributes.insert("Severity",
                    blog::attributes::constant<log_severity>(Severity));
  addText(Attributes, "component", Component);
  addText(Attributes, "customer", Context.Customer);
  addText(Attributes, "job", Context.Job);
  addNumber(Attributes, "attempt", Context.Attempt);
  addNumber(Attributes, "offset", Context.Offset);
  const auto Core = blog::core::get();
  if (blog::record Record = Core->open_record(Attributes)) {
    blog::record_ostream Out(Record);
    Out << Message;
    Out.flush();
    Core->push_record(std::move(Record));
  }
}

} // namespace geraniumpaddle
