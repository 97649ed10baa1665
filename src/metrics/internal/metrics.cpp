#include "metrics/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <sstream>
#include <variant>

namespace geraniumpaddle {

namespace {

namespace bh = boost::histogram;

using bucket_axis =
    bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using bucket_histogram =
    bh::histogram<std::tuple<bucket_axis>, bh::dense_storage<std::uint64_t>>;

// The upper bound of a Prometheus bucket is inclusive, that of a bin of the
// axis exclusive; so each edge is the next larger number after the bound.
std::vector<double> axisEdges(std::span<const double> UpperBounds) {
  std::vector<double> Edges{std::numeric_limits<double>::lowest()};
  for (const double Bound : UpperBounds) {
    Edges.push_back(
        std::nextafter(Bound, std::numeric_limits<double>::infinity()));
  }
  return Edges;
}

bool isMetricName(std::string_view Name) {
  const auto IsAllowed = [](char Each) {
    return (Each >= 'a' && Each <= 'z') || (Each >= 'A' && Each <= 'Z') ||
           (Each >= '0' && Each <= '9') || Each == '_' || Each == ':';
  };
  return !Name.empty() && !(Name.front() >= '0' && Name.front() <= '9') &&
         std::all_of(Name.begin(), Name.end(), IsAllowed);
}

std::string escape(std::string_view Text) {
  std::string Result;
  for (const char Each : Text) {
    if (Each == '\\' || Each == '"') {
      Result += '\\';
    }
    Result += Each == '\n' ? std::string("\\n") : std::string(1, Each);
  }
  return Result;
}

std::string formatNumber(double Value) {
  if (Value == std::numeric_limits<double>::infinity()) {
    return "+Inf";
  }
  std::array<char, 32> Text{};
  const char *End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value).ptr;
  return {Text.data(), static_cast<std::size_t>(End - Text.data())};
}

std::string formatLabels(const metric_labels &Labels) {
  std::string Text;
  for (const auto &[Name, Value] : Labels) {
    Text += (Text.empty() ? "" : ",") + Name + "=\"" + escape(Value) + "\"";
  }
  return Text;
}

std::string seriesName(std::string_view Name, const std::string &Labels) {
  return std::string(Name) + (Labels.empty() ? "" : "{" + Labels + "}");
}

} // namespace

struct histogram::state {
  explicit state(std::span<const double> UpperBounds)
      : UpperBounds(UpperBounds.begin(), UpperBounds.end()),
        Buckets(bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                        bucket_axis(axisEdges(UpperBounds)))) {}

  std::vector<double> UpperBounds;
  bucket_histogram Buckets;
  std::uint64_t Count = 0;
  double Sum = 0;
};

histogram::histogram(std::span<const double> UpperBounds) {
  const bool Ascending =
      std::adjacent_find(UpperBounds.begin(), UpperBounds.end(),
                         std::greater_equal<>()) == UpperBounds.end();
  if (UpperBounds.empty() || !Ascending) {
    throw invalid_argument_error(
        "histogram bounds must be ascending and not empty");
  }
  State = std::make_unique<state>(UpperBounds);
}

histogram::~histogram() = default;
histogram::histogram(histogram &&) noexcept = default;

void histogram::observe(double Value) {
  State->Buckets(Value);
  ++State->Count;
  State->Sum += Value;
}

std::uint64_t histogram::count() const { return State->Count; }
double histogram::sum() const { return State->Sum; }
std::span<const double> histogram::upperBounds() const {
  return State->UpperBounds;
}

std::uint64_t histogram::bucket(std::size_t Index) const {
  return State->Buckets.at(static_cast<int>(Index));
}

double histogram::quantile(double Fraction) const {
  const double Rank = Fraction * static_cast<double>(State->Count);
  std::uint64_t Cumulative = 0;
  for (std::size_t Index = 0; Index < State->UpperBounds.size(); ++Index) {
    Cumulative += bucket(Index);
    if (static_cast<double>(Cumulative) >= Rank) {
      return State->UpperBounds[Index];
    }
  }
  return std::numeric_limits<double>::infinity();
}

std::span<const double> latencyBounds() {
  static constexpr std::array Seconds{0.001, 0.002, 0.005, 0.01, 0.02,
                                      0.05,  0.1,   0.2,   0.5,  1.0,
                                      2.0,   5.0,   10.0,  30.0, 60.0};
  return Seconds;
}

namespace {

void renderSeries(std::ostream &Out, std::string_view Name,
                  const std::string &Labels, const counter &Series) {
  Out << seriesName(Name, Labels) << ' ' << Series.value() << '\n';
}

void renderSeries(std::ostream &Out, std::string_view Name,
                  const std::string &Labels, const gauge &Series) {
  Out << seriesName(Name, Labels) << ' ' << formatNumber(Series.value())
      << '\n';
}

void renderSeries(std::ostream &Out, std::string_view Name,
                  const std::string &Labels, const histogram &Series) {
  const std::string Prefix = Labels.empty() ? "" : Labels + ",";
  const auto Bounds = Series.upperBounds();
  std::uint64_t Cumulative = 0;
  for (std::size_t Index = 0; Index < Bounds.size(); ++Index) {
    Cumulative += Series.bucket(Index);
    Out << Name << "_bucket{" << Prefix << "le=\""
        << formatNumber(Bounds[Index]) << "\"} " << Cumulative << '\n';
  }
  Out << Name << "_bucket{" << Prefix << "le=\"+Inf\"} " << Series.count()
      << '\n';
  Out << seriesName(std::string(Name) + "_sum", Labels) << ' '
      << formatNumber(Series.sum()) << '\n';
  Out << seriesName(std::string(Name) + "_count", Labels) << ' '
      << Series.count() << '\n';
}

template <typename Type>
using series_map = std::map<std::string, std::unique_ptr<Type>>;
using any_series =
    std::variant<series_map<counter>, series_map<gauge>, series_map<histogram>>;
constexpr std::array<std::string_view, 3> TypeNames{"counter", "gauge",
                                                    "histogram"};

} // namespace

/// All series of one metric name.
struct metric_registry::family {
  family(std::string_view Help, any_series Series)
      : Help(Help), Series(std::move(Series)) {}

  std::string Help;
  any_series Series;
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

template <typename Type, typename... Arguments>
Type &metric_registry::getSeries(std::string_view Name, std::string_view Help,
                                 const metric_labels &Labels,
                                 const Arguments &...ConstructorArguments) {
  if (!isMetricName(Name)) {
    throw invalid_argument_error("\"" + std::string(Name) +
                                 "\" is not a metric name");
  }
  auto &Family = Families[std::string(Name)];
  if (!Family) {
    Family = std::make_unique<family>(Help, series_map<Type>());
  }
  auto *Series = std::get_if<series_map<Type>>(&Family->Series);
  if (Series == nullptr) {
    throw invalid_argument_error("metric " + std::string(Name) +
                                 " already has another type");
  }
  auto &Entry = (*Series)[formatLabels(Labels)];
  if (!Entry) {
    Entry = std::make_unique<Type>(ConstructorArguments...);
  }
  return *Entry;
}

counter &metric_registry::getCounter(std::string_view Name,
                                     std::string_view Help,
                                     const metric_labels &Labels) {
  return getSeries<counter>(Name, Help, Labels);
}

gauge &metric_registry::getGauge(std::string_view Name, std::string_view Help,
                                 const metric_labels &Labels) {
  return getSeries<gauge>(Name, Help, Labels);
}

histogram &metric_registry::getHistogram(std::string_view Name,
                                         std::string_view Help,
                                         std::span<const double> UpperBounds,
                                         const metric_labels &Labels) {
  return getSeries<histogram>(Name, Help, Labels, UpperBounds);
}

void metric_registry::onRender(std::function<void()> Update) {
  Updates.push_back(std::move(Update));
}

std::string metric_registry::render() {
  for (const auto &Update : Updates) {
    Update();
  }
  std::ostringstream Out;
  for (const auto &[Name, Family] : Families) {
    Out << "# HELP " << Name << ' ' << Family->Help << '\n';
    Out << "# TYPE " << Name << ' ' << TypeNames.at(Family->Series.index())
        << '\n';
    std::visit(
        [&Out, &Name = Name](const auto &Series) {
          for (const auto &[Labels, Each] : Series) {
            renderSeries(Out, Name, Labels, *Each);
          }
        },
        Family->Series);
  }
  return Out.str();
}

} // namespace geraniumpaddle
