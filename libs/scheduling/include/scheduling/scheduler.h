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

// Identifies a work item at one scheduler from enqueue until it has finished or was dropped.
// Tickets are not reused.
using Ticket = Number<struct TicketTag>;

// Properties of a request that are known before it runs.
struct Work
{
    PlanId plan;
    CustomerId customer;
    WorkLength length = WorkLength::Unknown;

    // requestFingerprint() of its statements.
    std::uint64_t fingerprint = 0;

    // Time by which the answer must have arrived.
    Instant deadline;

    // Opaque value of the caller, returned when the work is dispatched or dropped.
    std::uint64_t context = 0;
};

// Why work is not run, and when a retry may succeed; retryAfter is zero if a retry is pointless.
struct Refusal
{
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0};
};

using Admission =
        boost::outcome_v2::basic_result<Ticket, Refusal, boost::outcome_v2::policy::terminate>;

// Work that holds a slot until finished() or abandoned().
struct Dispatch
{
    Ticket ticket;
    std::uint64_t context = 0;
    bool isLong = false;
    Duration waited{0};
    Duration expected{0};
};

// Work that was admitted, but dropped before it ran.
struct DroppedWork
{
    Ticket ticket;
    std::uint64_t context = 0;
    Refusal refusal;
};

enum class CancelResult {
    // It was queued and has been removed.
    Removed,
    // It holds a slot; finished() or abandoned() must still be called.
    Running,
    // It has already finished or was dropped.
    NotFound,
};

struct SchedulerOptions
{
    // Statements that the database runs at once.
    std::uint32_t slots = 3;

    // Statements that may be in flight beyond the slots, so that no slot is idle for the round trip
    // between an answer and the next statement.
    std::uint32_t spare = 2;

    // Maximum number of slots that long work may hold; with two or more slots, at most all but one.
    std::uint32_t longSlots = 1;

    // Share of slot time reserved for lower priorities while higher ones could use all of it.
    double lowerShare = 0.1;

    // Short work that is expected to wait longer than this is refused on arrival, and dropped if it
    // does wait longer. A queue of this length keeps the slots busy; a longer one only adds delay.
    Duration maximumWait = std::chrono::milliseconds(80);

    // A queue that was empty within the last burstTime holds a burst, not an overload: work is
    // admitted up to an expected wait of burstWait, and may stay queued until its deadline.
    Duration burstTime = std::chrono::milliseconds(250);
    Duration burstWait = std::chrono::milliseconds(320);

    // Initial estimate for statements without a recorded service time.
    Duration initialEstimate = std::chrono::milliseconds(5);

    // Work is long if its estimate is at least longFactor times that of short work, and at least
    // minimumLongEstimate.
    double longFactor = 10.0;
    Duration minimumLongEstimate = std::chrono::milliseconds(30);

    // Maximum number of fingerprints whose service times are kept.
    std::size_t maximumFingerprints = 4096;
};

struct SchedulerLoad
{
    std::uint32_t queued = 0;
    std::uint32_t queuedLong = 0;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0;

    // Expected slot time of the queued work.
    Duration backlog{0};
};

// Decides which request runs next at one database. Plans share its slots by weighted fair queueing
// in slot time. The share of an idle plan is available to the others until its next request; the
// plan gets no credit for the time it was idle. Within a plan, customers are served round robin.
//
// Plans of a higher priority go first. While they could use every slot, the lower priorities
// together still receive lowerShare of the slot time; the same rule applies at each priority to
// those below it. Long work holds at most longSlots slots at once, and at most the plan's
// longStatements. If a plan has both short and long work, each is charged to half of the plan's
// weight, so that short work does not pay for the plan's long work and does not starve it.
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
//             break;                              // and return the connection
//         run(dispatch->context, *connection);
//     }
//     while (const auto dropped = scheduler.takeDropped(now))
//         answerNotRun(dropped->context, dropped->refusal);
//     ...
//     scheduler.finished(ticket, now, answeredAt - sentAt);
//
// After each enqueue(), finished() and new connection, call next() until it returns nothing. Call
// takeDropped() then and about every 10 ms. A dispatch without a connection would waste its slot.
// Not thread-safe.
class Scheduler
{
public:
    explicit Scheduler(const SchedulerOptions &options = {});
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    // Replaces the plans at once, also for queued work. Queued work of a removed plan still runs,
    // with weight 1 and priority 0; its new work is refused.
    void setPlans(const std::map<PlanId, Plan> &plans);

    // Changes the number of slots, for a database that is brought back into use gradually; 0 stops
    // dispatch. Running work is not interrupted.
    void setSlots(std::uint32_t slots);

    // Refusals: PlanForbids, QueueFull, DeadlineTooShort, DeadlinePassed, UpstreamUnreachable.
    Admission enqueue(const Work &work, Instant now);

    // Whether a connection should be acquired for next(). It may still return nothing, if the work
    // is dropped.
    bool isReady() const;

    // The work to run next; nothing if every slot is taken or no work may run.
    std::optional<Dispatch> next(Instant now);

    // The next work item that was dropped and not yet returned. Work is dropped if its deadline can
    // no longer be met, if its plan forbids it, or if it is short and has waited for maximumWait.
    std::optional<DroppedWork> takeDropped(Instant now);

    // Frees the slot of a dispatched ticket. service is the time from the call to its answer.
    void finished(Ticket ticket, Instant now, Duration service);

    // Frees the slot of a dispatched ticket that did not run to its end (connection lost, refused
    // by the database), without recording its service time.
    void abandoned(Ticket ticket, Instant now);

    // Removes queued work, for example of a caller that has disconnected.
    CancelResult cancel(Ticket ticket);

    SchedulerLoad load() const;

    // Expected wait of new short work of this plan, for routing; nothing if it would be refused.
    std::optional<Duration> expectedWait(const PlanId &plan) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
