#include "promotion/promoter.h"

#include <algorithm>

// Promoter: reading, claiming and writing the group's record in the store.

namespace fescuespring {

namespace {

// A term claimed without the store is this far above every observed term, plus a random number
// below storelessTermSpread, so that it collides neither with terms from the store, which increase
// by one, nor with those of another VM.
constexpr std::uint64_t storelessTermDistance = 1024;
constexpr std::uint64_t storelessTermSpread = std::uint64_t{1} << 24;

} // namespace

PromotionActions Promoter::readRecord(Instant now)
{
    if (m_step == PromotionStep::Claiming)
        m_step = PromotionStep::ReadingRecord;
    scheduleRepeat(m_options.callRetry, now);
    m_callOpen = true;
    return {{.kind = PromotionActionKind::ReadRecord, .call = ++m_call}};
}

PromotionActions Promoter::recordRead(std::uint64_t call, const std::optional<StoredRecord> &stored,
                                      Instant now)
{
    if (!closeCall(call))
        return {};
    m_stored = stored;
    if (m_step == PromotionStep::Recording)
        return recordReadWhileRecording(now);
    if (m_step != PromotionStep::ReadingRecord)
        return {};
    if (!stored)
        return claim(stored, now);
    if (isOurs(stored->record))
        return claimed(now);
    if (mustYield(stored->record, now))
        return end(PromotionEnd::Outbid, now);
    return claim(stored, now);
}

bool Promoter::isOurs(const GroupRecord &record) const
{
    return m_attempt != 0 && record.term == m_term && record.promoter == m_options.vm
           && record.attempt == m_attempt;
}

bool Promoter::mustYield(const GroupRecord &record, Instant now)
{
    if (record.term <= m_highest || record.promoter == m_options.vm)
        return false;
    if (record.term != m_yieldedTo) {
        m_yieldedTo = record.term;
        m_yieldedAt = now;
        return true;
    }
    return now - m_yieldedAt < m_options.takeoverAfter;
}

PromotionActions Promoter::claim(const std::optional<StoredRecord> &stored, Instant)
{
    if (stored)
        m_highest = std::max(m_highest, stored->record.term);
    m_term = m_highest.next();
    m_attempt = m_options.random() | 1;
    m_step = PromotionStep::Claiming;
    m_callOpen = true;
    return {{.kind = PromotionActionKind::WriteRecord,
             .term = m_term,
             .record = currentRecord(RecordPhase::Claimed),
             .ifVersion = stored ? stored->version : ObjectVersion(),
             .call = ++m_call}};
}

PromotionActions Promoter::claimWithoutStore(Instant now)
{
    m_callOpen = false;
    m_stored.reset();
    m_report.unaided = true;
    m_term = Term(m_highest.value() + storelessTermDistance
                  + m_options.random() % storelessTermSpread);
    return claimed(now);
}

PromotionActions Promoter::recordWritten(std::uint64_t call, ObjectVersion version, Instant now)
{
    if (!closeCall(call))
        return {};
    if (m_step == PromotionStep::Recording) {
        m_step = PromotionStep::Idle;
        return {};
    }
    if (m_step != PromotionStep::Claiming)
        return {};
    m_stored = StoredRecord{.record = currentRecord(RecordPhase::Claimed), .version = version};
    return claimed(now);
}

PromotionActions Promoter::recordConflict(std::uint64_t call, Instant now)
{
    return closeCall(call) ? readRecord(now) : PromotionActions();
}

PromotionActions Promoter::storeFailed(std::uint64_t call, Instant now)
{
    if (!closeCall(call))
        return {};
    m_stored.reset();
    scheduleRepeat(m_step == PromotionStep::Recording ? m_options.recordRetry : m_options.callRetry,
                   now);
    return {};
}

PromotionActions Promoter::writeRecord(Instant)
{
    m_callOpen = true;
    return {{.kind = PromotionActionKind::WriteRecord,
             .term = m_term,
             .record = currentRecord(RecordPhase::Stable),
             .ifVersion = m_stored ? m_stored->version : ObjectVersion(),
             .call = ++m_call}};
}

PromotionActions Promoter::recordReadWhileRecording(Instant now)
{
    const bool isUpToDate = m_stored
                            && (m_stored->record.term > m_term
                                || (m_stored->record.term == m_term
                                    && m_stored->record.phase == RecordPhase::Stable));
    if (!isUpToDate)
        return writeRecord(now);
    m_step = PromotionStep::Idle;
    return {};
}

} // namespace fescuespring
