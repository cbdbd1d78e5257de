#include "promotion/lossdetector.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::array verdictNames{"alive", "suspected", "lost", "isolated"};

} // namespace

const char *toString(LossVerdict verdict)
{
    return verdictNames[static_cast<std::size_t>(verdict)];
}

LossDetector::LossDetector(LossOptions options)
    : m_options(options)
{}

void LossDetector::report(PeerReport report)
{
    const auto known = std::find_if(m_reports.begin(), m_reports.end(),
                                    [&](const PeerReport &other) { return other.vm == report.vm; });
    if (known == m_reports.end())
        m_reports.push_back(std::move(report));
    else
        *known = std::move(report);
}

LossVerdict LossDetector::examine(const GroupView &view, Instant now)
{
    if (!m_lastExamined || now - *m_lastExamined > m_options.pauseAfter) {
        m_resumedAt = now;
        m_noPrimarySince.reset();
        m_progress.clear();
    }
    m_lastExamined = now;
    updateProgress(view, now);
    std::erase_if(m_reports, [&](const PeerReport &report) {
        return now - report.heardAt > m_options.reportLifetime;
    });
    const bool canPromote = reachesMajority(view, now);
    const auto primary = view.primary();
    if (!primary) {
        const LossVerdict verdict = examineWithoutPrimary(now);
        return canPromote ? verdict : LossVerdict::Suspected;
    }
    m_noPrimarySince.reset();
    m_silentSince = std::max(view.find(primary->database)->receivedAt, m_resumedAt);
    if (now - m_silentSince < m_options.suspectAfter)
        return isIsolated(view, *primary, now) ? LossVerdict::Isolated : LossVerdict::Alive;
    return canPromote ? examineUnresponsive(view, *primary, now) : LossVerdict::Suspected;
}

void LossDetector::recordUnreplicatedWrite(Instant now)
{
    m_unreplicatedWriteAt = now;
}

void LossDetector::updateProgress(const GroupView &view, Instant now)
{
    for (const DatabaseView &database : view.databases()) {
        if (!database.status)
            continue;
        const LogPoint received = database.status->received;
        const auto known =
                std::find_if(m_progress.begin(), m_progress.end(), [&](const Progress &progress) {
                    return progress.database == database.site.database;
                });
        if (known == m_progress.end())
            m_progress.push_back({database.site.database, received, now});
        else if (known->received != received)
            *known = {database.site.database, received, now};
    }
}

bool LossDetector::isIsolated(const GroupView &view, const PrimaryView &primary, Instant now) const
{
    if (!m_unreplicatedWriteAt || now - *m_unreplicatedWriteAt > m_options.isolatedAfter)
        return false;
    const LogPoint reached = view.find(primary.database)->status->received;
    const auto isStalled = [&](const Progress &progress) {
        const DatabaseView *database = view.find(progress.database);
        const bool isCurrent = database && database->status
                               && database->status->term == primary.term
                               && now - database->receivedAt < m_options.suspectAfter;
        return isCurrent && progress.database != primary.database && progress.received < reached
               && now - progress.since >= m_options.isolatedAfter
               && database->status->age >= m_options.isolatedAfter;
    };
    const auto stalled = std::count_if(m_progress.begin(), m_progress.end(), isStalled);
    return static_cast<std::size_t>(stalled) >= view.majority();
}

LossVerdict LossDetector::examineWithoutPrimary(Instant now)
{
    if (!m_noPrimarySince) {
        m_noPrimarySince = now;
        m_silentSince = now;
    }
    return now - *m_noPrimarySince >= m_options.noPrimaryAfter ? LossVerdict::Lost
                                                               : LossVerdict::Suspected;
}

LossVerdict LossDetector::examineUnresponsive(const GroupView &view, const PrimaryView &primary,
                                              Instant now) const
{
    const Duration sinceLastAnswer = now - m_silentSince;
    const Votes counted = votes(primary.term, now);
    if (counted.alive >= counted.lost)
        return LossVerdict::Suspected;
    if (isReceivedByReplica(view, primary, now))
        return sinceLastAnswer >= m_options.lostDespiteReplicaAfter ? LossVerdict::Lost
                                                                    : LossVerdict::Suspected;
    if (counted.lost >= m_options.vantagePoints / 2 + 1)
        return LossVerdict::Lost;
    return sinceLastAnswer >= m_options.lostWithoutPeersAfter ? LossVerdict::Lost
                                                              : LossVerdict::Suspected;
}

LossDetector::Votes LossDetector::votes(Term term, Instant now) const
{
    Votes counted{.lost = 1};
    for (const PeerReport &report : m_reports) {
        if (report.term != term || now - report.heardAt > m_options.reportLifetime)
            continue;
        if (report.primaryReachable)
            ++counted.alive;
        else
            ++counted.lost;
    }
    return counted;
}

bool LossDetector::isReceivedByReplica(const GroupView &view, const PrimaryView &primary,
                                       Instant now) const
{
    const auto &databases = view.databases();
    return std::any_of(databases.begin(), databases.end(), [&](const DatabaseView &database) {
        const bool isCurrentReplica = database.site.database != primary.database && database.status
                                      && database.status->term == primary.term
                                      && now - database.receivedAt < m_options.suspectAfter;
        return isCurrentReplica && database.status->age < m_options.suspectAfter / 2;
    });
}

bool LossDetector::reachesMajority(const GroupView &view, Instant now) const
{
    const auto &databases = view.databases();
    const auto reached =
            std::count_if(databases.begin(), databases.end(), [&](const DatabaseView &database) {
                return database.status && now - database.receivedAt < m_options.suspectAfter;
            });
    return static_cast<std::size_t>(reached) >= view.majority();
}

} // namespace fescuespring
