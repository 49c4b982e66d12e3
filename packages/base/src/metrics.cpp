#include "carobhall/base.h"

// Must precede the Boost headers: the accumulators of Boost 1.74 use std::ostringstream without including its header.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace Carobhall
{

namespace
{

namespace Acc = boost::accumulators;

constexpr std::array Quantiles{ 0.5, 0.95, 0.99 };

using Accumulator = Acc::accumulator_set<double, Acc::stats<Acc::tag::count, Acc::tag::sum, Acc::tag::extended_p_square_quantile>>;

std::string sampleName(std::string_view name, std::string_view labels, std::string_view extraLabels = {})
{
    std::string text(name);
    if (labels.empty() && extraLabels.empty()) {
        return text;
    }
    text += '{';
    text += labels;
    if (!labels.empty() && !extraLabels.empty()) {
        text += ',';
    }
    text += extraLabels;
    text += '}';
    return text;
}

template<typename Map, typename MakeInitial>
auto &findOrInsert(Map &map, std::string_view name, std::string_view labels, MakeInitial makeInitial)
{
    auto family = map.find(name);
    if (family == map.end()) {
        family = map.emplace(std::string(name), typename Map::mapped_type{}).first;
    }
    auto entry = family->second.find(labels);
    if (entry == family->second.end()) {
        entry = family->second.emplace(std::string(labels), makeInitial()).first;
    }
    return entry->second;
}

} // namespace

struct Metrics::Series {
    Accumulator accumulator{ Acc::extended_p_square_probabilities = Quantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, std::uint64_t by)
{
    findOrInsert(counters_, name, labels, [] { return std::uint64_t{ 0 }; }) += by;
}

void Metrics::setGauge(std::string_view name, std::string_view labels, double value)
{
    findOrInsert(gauges_, name, labels, [] { return 0.0; }) = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, Micros sample)
{
    findOrInsert(series_, name, labels, [] { return std::make_unique<Series>(); })->accumulator(static_cast<double>(sample));
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const auto family = counters_.find(name);
    if (family == counters_.end()) {
        return 0;
    }
    const auto entry = family->second.find(labels);
    return entry == family->second.end() ? 0 : entry->second;
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    for (const auto &[name, family] : counters_) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : family) {
            out << sampleName(name, labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, family] : gauges_) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : family) {
            out << sampleName(name, labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, family] : series_) {
        out << "# TYPE " << name << " summary\n";
        for (const auto &[labels, series] : family) {
            const Accumulator &accumulator = series->accumulator;
            for (const double quantile : Quantiles) {
                std::ostringstream extraLabels;
                extraLabels << "quantile=\"" << quantile << '"';
                out << sampleName(name, labels, extraLabels.str()) << ' '
                    << Acc::quantile(accumulator, Acc::quantile_probability = quantile) / static_cast<double>(MicrosPerSecond) << '\n';
            }
            out << sampleName(name + "_sum", labels) << ' ' << Acc::sum(accumulator) / static_cast<double>(MicrosPerSecond) << '\n';
            out << sampleName(name + "_count", labels) << ' ' << Acc::count(accumulator) << '\n';
        }
    }
    return out.str();
}

} // namespace Carobhall
