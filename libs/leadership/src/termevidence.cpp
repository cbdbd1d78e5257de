#include "leadership/termevidence.h"

#include "leadership/evidencerequest.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

// Minimum distance between two status requests to one database; requests that arrive meanwhile
// share the next one.
constexpr Duration pollSpacing = std::chrono::milliseconds(10);

} // namespace

TermEvidence::TermEvidence(Options options)
    : m_options(std::move(options))
{}

TermEvidence::~TermEvidence()
{
    m_options.timers.cancel(m_timer);
}

void TermEvidence::confirmCommit(const Commit &commit, Done done)
{
    add({.primary = commit.primary,
         .commit = commit.point,
         .sentAt = commit.sentAt,
         .firstPoll = m_options.commitDelay,
         .interval = m_options.commitInterval,
         .longestInterval = m_options.longestCommitInterval,
         .done = std::move(done)});
}

void TermEvidence::confirmLeadership(const DatabaseId &primary, Done done)
{
    add({.primary = primary,
         .interval = m_options.leadershipInterval,
         .longestInterval = m_options.timeout,
         .done = std::move(done)});
}

void TermEvidence::add(Request request)
{
    request.askedAt = m_options.timers.now();
    request.deadline = request.askedAt + m_options.timeout;
    request.electorate = m_options.electorate();
    request.ballots.resize(request.electorate.voters.size());
    // Without databases there is nothing to wait for; the timer keeps the callback out of the call.
    if (request.ballots.empty())
        request.deadline = request.askedAt;
    m_requests.push_back(std::move(request));
    advance();
}

// Sends the status requests that are due, and sets the timer for the next ones.
void TermEvidence::advance()
{
    const Instant now = m_options.timers.now();
    std::set<DatabaseId> due;
    Instant next = Instant::max();
    for (const Request &request : m_requests) {
        next = std::min(next, request.deadline);
        for (std::size_t i = 0; i < request.ballots.size(); ++i) {
            const DatabaseId &database = request.electorate.voters[i].database;
            const Instant pollAt = std::max(request.pollAt(i), m_freeFrom[database]);
            if (pollAt <= now)
                due.insert(database);
            else
                next = std::min(next, pollAt);
        }
    }
    m_options.timers.cancel(std::exchange(m_timer, 0));
    if (next != Instant::max()) {
        m_timer = m_options.timers.after(std::max(next - now, Duration(0)), [this] {
            m_timer = 0;
            end();
        });
    }
    for (const DatabaseId &database : due)
        poll(database, now);
}

void TermEvidence::poll(const DatabaseId &database, Instant now)
{
    // One status request at a time; one that got no answer counts as lost after the timeout.
    m_freeFrom[database] = now + m_options.timeout;
    for (Request &request : m_requests)
        request.polled(database, now);
    m_options.requestStatus(database, [this, database, now, alive = std::weak_ptr(m_alive)](
                                              const std::optional<UpstreamStatus> &status) {
        if (!alive.expired())
            answered(database, now, status);
    });
}

void TermEvidence::answered(const DatabaseId &database, Instant polledAt,
                            const std::optional<UpstreamStatus> &status)
{
    if (m_freeFrom[database] == polledAt + m_options.timeout)
        m_freeFrom[database] = polledAt + pollSpacing;
    if (status) {
        for (Request &request : m_requests) {
            if (request.askedAt <= polledAt)
                request.count(database, *status);
        }
    }
    end();
}

// Ends the requests that are decided or out of time.
void TermEvidence::end()
{
    const Instant now = m_options.timers.now();
    const auto waiting = std::stable_partition(
            m_requests.begin(), m_requests.end(), [now](const Request &request) {
                return request.isDecided() || now >= request.deadline;
            });
    std::vector<Request> ended(std::make_move_iterator(m_requests.begin()),
                               std::make_move_iterator(waiting));
    m_requests.erase(m_requests.begin(), waiting);
    advance();
    for (const Request &request : ended)
        request.done(request.outcome());
}

} // namespace fescuespring
