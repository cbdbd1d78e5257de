#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// A figure measured at several sizes.
struct Series
{
    std::string name;
    std::string unit;
    std::vector<double> values;
};

// Series of one component over the same sizes.
struct SlopeTable
{
    std::string title;
    std::string sizeName;
    std::vector<double> sizes;
    std::vector<Series> series;
};

// value = base + slope * size, by least squares.
struct LinearFit
{
    double base = 0;
    double slope = 0;
};

LinearFit fitLine(const std::vector<double> &sizes, const std::vector<double> &values);

// Prints a table with a column per size and the fit of each row.
void print(const SlopeTable &table);

// Bytes that the process has allocated.
double allocatedBytes();

double median(std::vector<double> values);
double worst(const std::vector<double> &values);

// Options of all measurements.
struct SlopeOptions
{
    std::vector<std::size_t> sizes;
    std::uint64_t seed = 1;
    int crashes = 20;
    int edits = 50;
};

// Traffic, processor time, memory, crash detection and false deaths, by members of a data centre.
SlopeTable measureMembership(const SlopeOptions &options);

// Time from an edit until it is in force on all VMs, and the store calls that it takes.
SlopeTable measureDistribution(const SlopeOptions &options);

// Parsing, applying and storing plan lists, by number of customers.
SlopeTable measureLists();

// Processor time per datagram sent and received through libs/net over loopback.
SlopeTable measureDatagrams();

} // namespace fescuespring
