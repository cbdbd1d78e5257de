#include "loadtest/report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace json = boost::json;

namespace fescuespring {

namespace {

constexpr const char *productPolicy = "product";

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::uint64_t total(const std::map<std::string, std::uint64_t> &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[reason, count] : counts)
        sum += count;
    return sum;
}

json::object countsValue(const std::map<std::string, std::uint64_t> &counts)
{
    json::object value;
    for (const auto &[reason, count] : counts)
        value[reason] = count;
    return value;
}

json::object classValue(const ClassFigures &figures)
{
    return {{"run", figures.run},
            {"policy", figures.policy},
            {"class", figures.name},
            {"offered", figures.offered},
            {"done", figures.done},
            {"byReplica", figures.byReplica},
            {"notRun", countsValue(figures.notRun)},
            {"unknown", countsValue(figures.unknown)},
            {"p50Ms", toMs(figures.p50)},
            {"p90Ms", toMs(figures.p90)},
            {"p99Ms", toMs(figures.p99)},
            {"p999Ms", toMs(figures.p999)},
            {"maximumMs", toMs(figures.maximum)},
            {"refusalP99Ms", toMs(figures.refusalP99)}};
}

json::object seriesValue(const Series &series)
{
    json::array points;
    for (const SeriesFigures &point : series.points)
        points.push_back(json::object{{"fromSeconds", point.fromSeconds},
                                      {"offeredPerSecond", point.offeredPerSecond},
                                      {"donePerSecond", point.donePerSecond},
                                      {"refusedPerSecond", point.refusedPerSecond},
                                      {"p99Ms", point.p99Ms}});
    return {{"run", series.run}, {"policy", series.policy}, {"points", std::move(points)}};
}

json::object targetValue(const ReportTarget &target)
{
    return {{"name", target.name},    {"bound", target.bound}, {"value", target.value},
            {"unit", target.unit},    {"met", target.isMet()}, {"policy", target.policy},
            {"atMost", target.atMost}};
}

json::object figureValue(const Figure &figure)
{
    return {{"name", figure.name},
            {"value", figure.value},
            {"unit", figure.unit},
            {"policy", figure.policy}};
}

template <typename Item, typename Convert>
json::array arrayOf(const std::vector<Item> &items, Convert convert)
{
    json::array values;
    for (const Item &item : items)
        values.push_back(convert(item));
    return values;
}

void printReasons(std::ostream &out, const char *label,
                  const std::map<std::string, std::uint64_t> &counts)
{
    for (const auto &[reason, count] : counts)
        out << "    " << label << ' ' << reason << ": " << count << '\n';
}

void printClass(std::ostream &out, const ClassFigures &figures)
{
    out << std::left << std::setw(14) << figures.run << std::setw(9) << figures.policy
        << std::setw(16) << figures.name << std::right << std::setw(9) << figures.offered
        << std::setw(9) << figures.done << std::setw(9) << total(figures.notRun) << std::setw(9)
        << total(figures.unknown) << std::setw(10) << toMs(figures.p50) << std::setw(10)
        << toMs(figures.p99) << std::setw(10) << toMs(figures.p999) << std::setw(10)
        << toMs(figures.maximum) << '\n';
    printReasons(out, "not run", figures.notRun);
    printReasons(out, "unknown", figures.unknown);
}

// One line of a plot: the values from left to right, scaled to the highest.
std::string polyline(const std::vector<double> &values, double highest, const char *colour)
{
    constexpr double width = 900;
    constexpr double height = 180;
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "<polyline fill='none' stroke='" << colour
        << "' points='";
    const double step = values.size() > 1 ? width / static_cast<double>(values.size() - 1) : 0;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double y = height - (highest > 0 ? values[i] / highest * height : 0);
        out << step * static_cast<double>(i) << ',' << y << ' ';
    }
    out << "'/>\n";
    return out.str();
}

std::vector<double> valuesOf(const Series &series, double SeriesFigures::*member)
{
    std::vector<double> values;
    for (const SeriesFigures &point : series.points)
        values.push_back(point.*member);
    return values;
}

double highestOf(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

std::string plot(const Series &series)
{
    const auto offered = valuesOf(series, &SeriesFigures::offeredPerSecond);
    const auto done = valuesOf(series, &SeriesFigures::donePerSecond);
    const auto refused = valuesOf(series, &SeriesFigures::refusedPerSecond);
    const auto latency = valuesOf(series, &SeriesFigures::p99Ms);
    const double rate = std::max(highestOf(offered), highestOf(done));
    const double slowest = highestOf(latency);
    std::ostringstream out;
    out << "<h2>" << series.run << " (" << series.policy << ")</h2>\n"
        << "<p>Requests a second, up to " << rate << ": <span style='color:grey'>offered</span>, "
        << "<span style='color:green'>done</span>, <span style='color:red'>not run</span></p>\n"
        << "<svg viewBox='0 0 900 180' width='900' height='180'>\n"
        << polyline(offered, rate, "grey") << polyline(done, rate, "green")
        << polyline(refused, rate, "red") << "</svg>\n"
        << "<p>99th percentile of latency, up to " << slowest << " ms</p>\n"
        << "<svg viewBox='0 0 900 180' width='900' height='180'>\n"
        << polyline(latency, slowest, "blue") << "</svg>\n";
    return out.str();
}

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char character : text) {
        if (character == '<')
            out += "&lt;";
        else if (character == '&')
            out += "&amp;";
        else
            out += character;
    }
    return out;
}

} // namespace

bool ReportTarget::isMet() const
{
    return atMost ? value <= bound : value >= bound;
}

void addRun(Report &report, const LoadWorkload &workload, const LoadRecorder &recorder,
            const std::string &run, const std::string &policy)
{
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        const ClassRecord &record = recorder.classes()[i];
        if (record.offered == 0)
            continue;
        report.classes.push_back({.run = run,
                                  .policy = policy,
                                  .name = workload.classes[i].name,
                                  .offered = record.offered,
                                  .done = record.done,
                                  .byReplica = record.doneByReplica,
                                  .notRun = record.notRun,
                                  .unknown = record.unknown,
                                  .p50 = record.doneLatency.percentile(0.5),
                                  .p90 = record.doneLatency.percentile(0.9),
                                  .p99 = record.doneLatency.percentile(0.99),
                                  .p999 = record.doneLatency.percentile(0.999),
                                  .maximum = record.doneLatency.maximum(),
                                  .refusalP99 = record.refusalLatency.percentile(0.99)});
    }
    Series series{.run = run, .policy = policy, .points = {}};
    const double slice = toSeconds(recorder.slice());
    for (const SeriesPoint &point : recorder.series())
        series.points.push_back({.fromSeconds = toSeconds(point.from),
                                 .offeredPerSecond = static_cast<double>(point.offered) / slice,
                                 .donePerSecond = static_cast<double>(point.done) / slice,
                                 .refusedPerSecond = static_cast<double>(point.refused) / slice,
                                 .p99Ms = toMs(percentileOf(point.latencies, 0.99))});
    report.series.push_back(std::move(series));
}

bool meetsProductTargets(const Report &report)
{
    return std::all_of(report.targets.begin(), report.targets.end(),
                       [](const ReportTarget &target) {
                           return target.policy != productPolicy || target.isMet();
                       });
}

std::string reportJson(const Report &report)
{
    return json::serialize(json::object{{"experiment", report.experiment},
                                        {"workload", report.workload},
                                        {"seed", report.seed},
                                        {"classes", arrayOf(report.classes, classValue)},
                                        {"series", arrayOf(report.series, seriesValue)},
                                        {"figures", arrayOf(report.figures, figureValue)},
                                        {"targets", arrayOf(report.targets, targetValue)}})
           + "\n";
}

std::string reportTable(const Report &report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << report.experiment << ", workload "
        << report.workload << ", seed " << report.seed << "\n\n";
    if (!report.classes.empty())
        out << "run           policy   class             offered     done  not run  unknown"
               "    p50 ms    p99 ms  p99.9 ms    max ms\n";
    for (const ClassFigures &figures : report.classes)
        printClass(out, figures);
    for (const Figure &figure : report.figures)
        out << figure.name << " (" << figure.policy << "): " << figure.value << ' ' << figure.unit
            << '\n';
    for (const ReportTarget &target : report.targets)
        out << (target.isMet() ? "met     " : "MISSED  ") << target.name << " (" << target.policy
            << "): " << target.value << ' ' << target.unit << ", bound "
            << (target.atMost ? "at most " : "at least ") << target.bound << '\n';
    return out.str();
}

std::string reportHtml(const Report &report)
{
    std::string page = "<!doctype html><meta charset='utf-8'><title>fescuebench "
                       + escaped(report.experiment)
                       + "</title>\n<body style='font-family:sans-serif'>\n<pre>"
                       + escaped(reportTable(report)) + "</pre>\n";
    for (const Series &series : report.series)
        page += plot(series);
    return page + "</body>\n";
}

} // namespace fescuespring
