#include "slopes.h"

#include "support/membernetwork.h"

#include <chrono>

namespace fescuespring {

using namespace std::chrono_literals;
using test::MemberNetwork;

namespace {

constexpr double loss = 0.2;
constexpr std::chrono::seconds settleTime{10};
constexpr std::chrono::seconds steadyTime{30};

// Time for members that start at the same time to spread all joins.
constexpr std::chrono::seconds coldStartTime{60};
constexpr std::chrono::seconds lossTime{60};
constexpr std::chrono::seconds freezeTime{5};
constexpr std::chrono::seconds crashLimit{20};

// Bytes of the Ethernet, IP and UDP headers, which the counters of Membership leave out.
constexpr double headerBytes = 14 + 20 + 8;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Sum of a counter over all members.
double total(const MemberNetwork &network, const std::string &name)
{
    double sum = 0;
    for (std::size_t i = 0; i < network.size(); ++i) {
        network.counters(i).visit([&](const std::string &counter, std::uint64_t value) {
            if (counter == name)
                sum += static_cast<double>(value);
        });
    }
    return sum;
}

// Traffic and resources of one member while the membership does not change.
struct SteadyState
{
    double datagrams = 0;
    double bytes = 0;
    double cpuShare = 0;
    double memory = 0;

    // Bytes per second that one member sends in the ten seconds after all start at the same time.
    double coldStartBytes = 0;
};

SteadyState measureSteadyState(std::size_t count, std::uint64_t seed)
{
    const double memory = allocatedBytes();
    MemberNetwork network({.count = count, .seed = seed});
    network.run(settleTime);
    const double coldBytes = total(network, "fescuespring_membership_bytes_sent_total");
    const double coldSent = total(network, "fescuespring_membership_datagrams_sent_total");
    network.run(coldStartTime);
    // Includes the small amount of memory that the test harness uses per member.
    const double memoryPerMember = (allocatedBytes() - memory) / static_cast<double>(count);
    const double datagrams = total(network, "fescuespring_membership_datagrams_sent_total");
    const double bytes = total(network, "fescuespring_membership_bytes_sent_total");
    const std::chrono::duration<double> spent = network.spent();
    network.run(steadyTime);
    const double seconds = static_cast<double>(steadyTime.count()) * static_cast<double>(count);
    const double sent = total(network, "fescuespring_membership_datagrams_sent_total") - datagrams;
    const double sentBytes = total(network, "fescuespring_membership_bytes_sent_total") - bytes;
    const std::chrono::duration<double> used = network.spent() - spent;
    const double cold = (coldBytes + coldSent * headerBytes)
                        / (static_cast<double>(settleTime.count()) * static_cast<double>(count));
    return {sent / seconds, (sentBytes + sent * headerBytes) / seconds, used.count() / seconds,
            memoryPerMember, cold};
}

// Milliseconds until all members have detected a crash, for several crashes in separate runs.
std::vector<double> measureCrashes(std::size_t count, const SlopeOptions &options, double lossRate)
{
    std::vector<double> times;
    for (int i = 0; i < options.crashes; ++i) {
        MemberNetwork network({.count = count,
                               .loss = lossRate,
                               .seed = options.seed + static_cast<std::uint64_t>(i)});
        // Varies the phase of the period in which the crash happens.
        network.run(settleTime + Duration(std::chrono::milliseconds(37 * i)));
        network.crash(static_cast<std::size_t>(i) % count);
        const Duration elapsed =
                network.runUntil([&] { return network.allCount(count - 1); }, crashLimit);
        times.push_back(milliseconds(elapsed));
    }
    return times;
}

double falseDeathsUnderLoss(std::size_t count, std::uint64_t seed)
{
    MemberNetwork network({.count = count, .loss = loss, .seed = seed});
    network.run(lossTime);
    return static_cast<double>(network.deaths([](const auto &) { return true; }));
}

double falseDeathsByFreeze(std::size_t count, std::uint64_t seed)
{
    MemberNetwork network({.count = count, .seed = seed});
    network.run(settleTime);
    network.freeze(count / 2);
    network.run(freezeTime);
    network.thaw(count / 2);
    network.run(settleTime);
    return static_cast<double>(
            network.deaths([&](const auto &change) { return change.member != count / 2; }));
}

} // namespace

SlopeTable measureMembership(const SlopeOptions &options)
{
    Series datagrams{"datagrams sent per VM", "1/s", {}};
    Series bytes{"bytes sent per VM, with headers", "B/s", {}};
    Series cpu{"processor share per VM, without the kernel", "%", {}};
    Series cold{"bytes sent per VM in the first 10 s after all started at once", "B/s", {}};
    Series memory{"memory per VM", "B", {}};
    Series crash{"crash known to all, median", "ms", {}};
    Series crashWorst{"crash known to all, worst", "ms", {}};
    Series lossyCrash{"the same under 20 % loss, median", "ms", {}};
    Series lossyCrashWorst{"the same under 20 % loss, worst", "ms", {}};
    Series lossDeaths{"false deaths under 20 % loss in 60 s", "deaths", {}};
    Series freezeDeaths{"deaths of others by a 5 s freeze of one", "deaths", {}};
    SlopeTable table{"Membership", "members", {}, {}};
    for (const std::size_t count : options.sizes) {
        table.sizes.push_back(static_cast<double>(count));
        const SteadyState steady = measureSteadyState(count, options.seed);
        datagrams.values.push_back(steady.datagrams);
        bytes.values.push_back(steady.bytes);
        cpu.values.push_back(steady.cpuShare * 100);
        cold.values.push_back(steady.coldStartBytes);
        memory.values.push_back(steady.memory);
        const std::vector<double> clean = measureCrashes(count, options, 0);
        crash.values.push_back(median(clean));
        crashWorst.values.push_back(worst(clean));
        const std::vector<double> lossy = measureCrashes(count, options, loss);
        lossyCrash.values.push_back(median(lossy));
        lossyCrashWorst.values.push_back(worst(lossy));
        lossDeaths.values.push_back(falseDeathsUnderLoss(count, options.seed));
        freezeDeaths.values.push_back(falseDeathsByFreeze(count, options.seed));
    }
    table.series = {datagrams,  bytes,           cpu,        cold,        memory, crash, crashWorst,
                    lossyCrash, lossyCrashWorst, lossDeaths, freezeDeaths};
    return table;
}

} // namespace fescuespring
