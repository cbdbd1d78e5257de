#include "placement/placement.h"
#include "pool/connectionpool.h"
#include "scheduling/fingerprint.h"
#include "scheduling/scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>
#include <vector>

using namespace fescuespring;

namespace {

constexpr int rounds = 400'000;
constexpr int backlog = 1000;
constexpr std::uint32_t customersPerPlan = 20;

// Nanoseconds per call, as the median over blocks of calls, so that a pause of the machine affects
// a single block.
class Timing
{
public:
    template <typename Call>
    void time(Call call)
    {
        const auto before = std::chrono::steady_clock::now();
        call();
        m_block += std::chrono::steady_clock::now() - before;
        if (++m_calls < blockSize)
            return;
        m_means.push_back(std::chrono::duration<double, std::nano>(m_block).count() / blockSize);
        m_block = {};
        m_calls = 0;
    }

    double median()
    {
        std::sort(m_means.begin(), m_means.end());
        return m_means[m_means.size() / 2];
    }

private:
    static constexpr int blockSize = 1000;

    std::chrono::steady_clock::duration m_block{};
    int m_calls = 0;
    std::vector<double> m_means;
};

// Measures the cost of the two clock reads around a call.
double measureClockCost()
{
    Timing timing;
    for (int i = 0; i < rounds; ++i)
        timing.time([] {});
    return timing.median();
}

std::map<PlanId, Plan> makePlans(int count)
{
    std::map<PlanId, Plan> plans;
    for (int i = 0; i < count; ++i) {
        Plan plan;
        plan.weight = 1 + i % 10;
        plan.priority = i % 3;
        plan.connections = 20;
        plan.queue = 1000;
        plans.emplace(PlanId("plan-" + std::to_string(i)), plan);
    }
    return plans;
}

Work makeWork(std::mt19937 &random, int plans, Instant now)
{
    Work work;
    work.plan = PlanId("plan-" + std::to_string(random() % plans));
    work.customer = CustomerId("coop-" + std::to_string(random() % customersPerPlan));
    work.fingerprint = 1 + random() % 100;
    work.deadline = now + std::chrono::minutes(1);
    return work;
}

// Times a scheduler with a backlog: in each round one request arrives and one statement ends.
void timeScheduler(int plans, double clockCost)
{
    SchedulerOptions options;
    options.maximumWait = std::chrono::minutes(1);
    Scheduler scheduler(options);
    const std::map<PlanId, Plan> list = makePlans(plans);
    const auto before = std::chrono::steady_clock::now();
    scheduler.setPlans(list);
    const std::chrono::duration<double, std::micro> setPlans =
            std::chrono::steady_clock::now() - before;
    std::mt19937 random(1);
    Instant now{std::chrono::hours(1)};
    std::vector<Ticket> running;
    for (int i = 0; i < backlog; ++i)
        (void)scheduler.enqueue(makeWork(random, plans, now), now);
    Timing enqueue;
    Timing next;
    Timing finished;
    std::uint64_t refused = 0;
    for (int i = 0; i < rounds; ++i) {
        now += std::chrono::milliseconds(1);
        const Work work = makeWork(random, plans, now);
        enqueue.time([&] { refused += scheduler.enqueue(work, now) ? 0 : 1; });
        std::optional<Dispatch> dispatch;
        next.time([&] { dispatch = scheduler.next(now); });
        if (dispatch)
            running.push_back(dispatch->ticket);
        while (scheduler.takeDropped(now))
            ++refused;
        if (running.size() < 4)
            continue;
        const Ticket ended = running.front();
        running.erase(running.begin());
        finished.time([&] { scheduler.finished(ended, now, std::chrono::milliseconds(3)); });
    }
    std::cout << std::setw(6) << plans << " plans: enqueue " << enqueue.median() - clockCost
              << " ns, next " << next.median() - clockCost << " ns, finished "
              << finished.median() - clockCost << " ns, setPlans " << setPlans.count()
              << " us; waiting " << scheduler.load().queued << ", refused " << refused << "\n";
}

void timeFingerprint(double clockCost)
{
    const std::string statement = "select yield, flags from milking where cow = 1234 and day >= "
                                  "'2026-07-01' order by day";
    Timing timing;
    std::uint64_t sum = 0;
    for (int i = 0; i < rounds; ++i)
        timing.time([&] { sum += statementFingerprint(statement); });
    std::cout << "fingerprint of " << statement.size() << " bytes: " << timing.median() - clockCost
              << " ns (" << sum % 10 << ")\n";
}

void timePool(double clockCost)
{
    ConnectionPool pool({.minimum = 5});
    Instant now{std::chrono::hours(1)};
    pool.start(now);
    while (const auto action = pool.nextAction(now))
        pool.opened(action->connection, now);
    Timing timing;
    for (int i = 0; i < rounds; ++i) {
        now += std::chrono::microseconds(1);
        timing.time([&] {
            const auto connection = pool.acquire(now);
            pool.release(*connection, ConnectionState::Clean, now);
            (void)pool.nextAction(now);
        });
    }
    std::cout << "pool, acquire, release and nextAction: " << timing.median() - clockCost
              << " ns\n";
}

void timePlacement(double clockCost)
{
    constexpr int vms = 440;
    std::vector<VmId> members;
    members.reserve(vms);
    for (int i = 0; i < vms; ++i)
        members.emplace_back("vm-" + std::to_string(i));
    const Placement placement(members);
    const GroupId group("group-17");
    const DataCentreId dataCentre("andong");
    Timing timing;
    std::size_t sum = 0;
    for (int i = 0; i < rounds / 10; ++i) {
        timing.time([&] { sum += placement.sliceOwner(group, dataCentre)->value().size(); });
    }
    std::cout << "owner of a slice among " << vms << " VMs: " << timing.median() - clockCost
              << " ns (" << sum % 10 << ")\n";
}

} // namespace

// Prints the cost of calls to the libraries that a slice owner uses. Run it by hand; it checks
// nothing.
int main()
{
    const double clockCost = measureClockCost();
    std::cout << std::fixed << std::setprecision(0);
    for (const int plans : {10, 100, 1000})
        timeScheduler(plans, clockCost);
    timeFingerprint(clockCost);
    timePool(clockCost);
    timePlacement(clockCost);
    return 0;
}
