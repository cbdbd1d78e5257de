// Uses two of the coordination libraries in a program without databases: three workers determine
// the owner of a queue without communication, and the owner shares a slot between a plan of weight
// 3 and one of weight 1.

#include "placement/placement.h"
#include "scheduling/scheduler.h"

#include <array>
#include <iostream>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr int jobsPerPlan = 30;
constexpr int dispatchedJobs = 20;
constexpr Duration jobTime = 10ms;

void enqueueAll(Scheduler &scheduler, Instant now)
{
    for (int i = 0; i < jobsPerPlan; ++i) {
        for (const char *plan : {"heavy", "light"}) {
            const Work work{.plan = PlanId(plan),
                            .customer = CustomerId("someone"),
                            .deadline = now + 1h,
                            .context = plan[0] == 'h' ? 0U : 1U};
            if (const Admission admission = scheduler.enqueue(work, now); !admission)
                std::cout << "refused: " << toString(admission.error().reason) << '\n';
        }
    }
}

} // namespace

int main()
{
    const std::array workers{VmId("worker-1"), VmId("worker-2"), VmId("worker-3")};
    const Placement placement(workers);
    std::cout << "the queue is owned by " << placement.owners("queue", 1).front().value() << '\n';

    Scheduler scheduler({.slots = 1, .spare = 0, .maximumWait = 1h});
    scheduler.setPlans({{PlanId("heavy"), {.weight = 3, .connections = 2}},
                        {PlanId("light"), {.weight = 1, .connections = 2}}});
    Instant now;
    enqueueAll(scheduler, now);

    std::array<int, 2> count{};
    for (int i = 0; i < dispatchedJobs; ++i) {
        const std::optional<Dispatch> dispatch = scheduler.next(now);
        if (!dispatch)
            break;
        ++count[dispatch->context];
        now += jobTime;
        scheduler.finished(dispatch->ticket, now, jobTime);
    }
    std::cout << "of " << dispatchedJobs << " jobs, heavy got " << count[0] << " and light "
              << count[1] << '\n';
    return count[0] == 3 * count[1] ? 0 : 1;
}
