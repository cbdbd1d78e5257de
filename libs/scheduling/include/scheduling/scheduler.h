#pragma once

#include "base/types.h"
#include "messages/plans.h"
#include "messages/request.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace fescuespring {

// Names one piece of work at one scheduler from enqueue until it has finished or was dropped. A
// ticket that is over is never mistaken for a later one.
using Ticket = Number<struct TicketTag>;

// What is known of a request before it runs.
struct Work
{
    PlanId plan;
    CustomerId customer;
    WorkLength length = WorkLength::Unknown;

    // requestFingerprint() of its statements.
    std::uint64_t fingerprint = 0;

    // When the answer has to be there.
    Instant deadline;

    // A number of the caller's own that is handed back with whatever becomes of the work.
    std::uint64_t context = 0;
};

// Why work is not run and when another try may do better; retryAfter is zero where it never will.
struct Refusal
{
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0};
};

using Admission =
        boost::outcome_v2::basic_result<Ticket, Refusal, boost::outcome_v2::policy::terminate>;

// Work that holds a slot from now until finished().
struct Dispatch
{
    Ticket ticket;
    std::uint64_t context = 0;
    bool isLong = false;
    Duration waited{0};
    Duration expected{0};
};

// Work that was admitted and dropped before it ran.
struct DroppedWork
{
    Ticket ticket;
    std::uint64_t context = 0;
    Refusal refusal;
};

enum class CancelResult {
    // It was waiting and is gone.
    Removed,
    // It holds a slot; finished() is still due.
    Running,
    // It is over already.
    NotFound,
};

struct SchedulerOptions
{
    // Statements that the database runs at once.
    std::uint32_t slots = 3;

    // Statements beyond the slots that may be under way, so that a slot is not idle for the round
    // trip between an answer and the next statement.
    std::uint32_t spare = 2;

    // Slots that long work may hold together; at most one less than the slots where there are two
    // or more.
    std::uint32_t longSlots = 1;

    // Share of slot time that goes to lower priorities while higher ones could use all of it.
    double lowerShare = 0.1;

    // Short work that would wait longer than this is refused on arrival, and dropped if it does all
    // the same. What keeps the slots busy waits less; a longer queue only makes all late.
    Duration maximumWait = std::chrono::milliseconds(80);

    // A queue that was empty burstTime ago or later is a burst and no overload: it may grow until
    // burstWait, and what it has taken in waits until its deadline.
    Duration burstTime = std::chrono::milliseconds(250);
    Duration burstWait = std::chrono::milliseconds(320);

    // Estimate for a statement that was never seen.
    Duration firstEstimate = std::chrono::milliseconds(5);

    // Work is long if its estimate is longFactor times that of short work and at least
    // longAtLeast.
    double longFactor = 10.0;
    Duration longAtLeast = std::chrono::milliseconds(30);

    // Fingerprints whose service times are kept.
    std::size_t fingerprints = 4096;
};

struct SchedulerLoad
{
    std::uint32_t queued = 0;
    std::uint32_t queuedLong = 0;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0;

    // Expected slot time of what waits.
    Duration backlog{0};
};

// Decides which request runs next at one database. Plans share its slots by weighted fair
// queueing in slot time: who is idle lends its share and has it back with its next request, since
// nothing is owed to a plan for the time it was idle. Inside a plan customers take turns.
//
// Plans of a higher priority come first. While they could use every slot, the priorities below are
// still given lowerShare of the slot time between them, and so on from each priority to those
// below it. Long work holds at most longSlots at once and at most the plan's longStatements; where
// a plan has short and long work, each is charged to half of the plan's weight, so that short work
// never pays for the plan's long work and long work is never starved by it.
//
//     Scheduler scheduler(options);
//     scheduler.setPlans(lists.plans);
//     Admission admission = scheduler.enqueue(work, now);
//     if (!admission)
//         return notRun(admission.error());
//     while (scheduler.isReady()) {
//         const auto connection = pool.acquire(now);
//         const auto dispatch = connection ? scheduler.next(now) : std::nullopt;
//         if (!dispatch)
//             break;                              // and give the connection back
//         run(dispatch->context, *connection);
//     }
//     while (const auto dropped = scheduler.takeDropped(now))
//         answerNotRun(dropped->context, dropped->refusal);
//     ...
//     scheduler.finished(ticket, now, answeredAt - sentAt);
//
// Call next() until it gives nothing after each enqueue(), finished() and new connection, and
// takeDropped() then and every 10 ms or so. A dispatch without a connection would waste its slot.
// One thread only.
class Scheduler
{
public:
    explicit Scheduler(const SchedulerOptions &options = {});
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    // Replaces the plans at once, also for what waits. Work of a plan that is gone still runs, at
    // weight 1 and priority 0; new work of it is refused.
    void setPlans(const std::map<PlanId, Plan> &plans);

    // Changes the slots, for a database that is let back gradually; 0 stops dispatch. What runs
    // is not interrupted.
    void setSlots(std::uint32_t slots);

    // Refusals: PlanForbids, QueueFull, DeadlineTooShort, DeadlinePassed.
    Admission enqueue(const Work &work, Instant now);

    // Whether next() has something to run, unless it is dropped for its deadline: time to take a
    // connection.
    bool isReady() const;

    // The work to run next; nothing while every slot is taken or nothing may run.
    std::optional<Dispatch> next(Instant now);

    // One piece of work that was dropped since the last call, because its deadline came too close
    // or, if short, because it waited for maximumWait.
    std::optional<DroppedWork> takeDropped(Instant now);

    // Frees the slot of a dispatched ticket. service is the time from sending to the answer.
    void finished(Ticket ticket, Instant now, Duration service);

    // Frees the slot of a dispatched ticket that was not run to its end (connection lost, refused
    // by the database): nothing is learnt from it.
    void abandoned(Ticket ticket, Instant now);

    // For a caller that went away.
    CancelResult cancel(Ticket ticket);

    SchedulerLoad load() const;

    // Time that short work of this plan would wait now, for routing; nothing if it would be
    // refused.
    std::optional<Duration> expectedWait(const PlanId &plan) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
