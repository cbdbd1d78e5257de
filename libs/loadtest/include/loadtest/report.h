#pragma once

#include "base/types.h"
#include "loadtest/loadrecorder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// A required bound of a figure.
struct ReportTarget
{
    std::string name;
    double bound = 0;
    double value = 0;
    std::string unit;
    std::string policy;

    // Whether bound is the maximum or the minimum of value.
    bool atMost = true;

    bool isMet() const;
};

// A figure without a bound.
struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
    std::string policy;
};

// Figures of one class in one run.
struct ClassFigures
{
    std::string run;
    std::string policy;
    std::string name;
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t byReplica = 0;
    std::map<std::string, std::uint64_t> notRun;
    std::map<std::string, std::uint64_t> unknown;
    Duration p50{0};
    Duration p90{0};
    Duration p99{0};
    Duration p999{0};
    Duration maximum{0};
    Duration refusalP99{0};
};

// One slice of one run, for plots.
struct SeriesFigures
{
    double fromSeconds = 0;
    double offeredPerSecond = 0;
    double donePerSecond = 0;
    double refusedPerSecond = 0;
    double p99Ms = 0;
};

struct Series
{
    std::string run;
    std::string policy;
    std::vector<SeriesFigures> points;
};

// Results of one run of fescuebench.
struct Report
{
    std::string experiment;
    std::string workload;
    std::uint64_t seed = 0;
    std::vector<ClassFigures> classes;
    std::vector<Series> series;
    std::vector<Figure> figures;
    std::vector<ReportTarget> targets;
};

// Adds the figures of a recorded run, named run, to the report.
void addRun(Report &report, const LoadWorkload &workload, const LoadRecorder &recorder,
            const std::string &run, const std::string &policy);

// Whether every target of the product is met.
bool meetsProductTargets(const Report &report);

std::string reportJson(const Report &report);

// A human-readable table.
std::string reportTable(const Report &report);

// One HTML page with a plot of each run, without scripts or external references.
std::string reportHtml(const Report &report);

} // namespace fescuespring
