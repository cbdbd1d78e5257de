#include "databasemodel/database.h"

namespace fescuespring {

void CommittedData::applyUpTo(const Log &log, LogPosition end)
{
    while (m_applied < end) {
        m_applied = m_applied.next();
        apply(log.at(m_applied));
    }
}

void CommittedData::rewind(const Log &log, LogPosition end)
{
    if (end >= m_applied)
        return;
    *this = CommittedData();
    applyUpTo(log, end);
}

const CommittedData::Record *CommittedData::record(const RequestId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const Cells &CommittedData::cells() const
{
    return m_cells;
}

LogPosition CommittedData::applied() const
{
    return m_applied;
}

void CommittedData::apply(const LogEntry &entry)
{
    for (const Effect &effect : entry.effects)
        m_cells[effect.key] = Cell{effect.value, m_applied};
    if (entry.record)
        m_records[entry.record->id] = Record{entry.record->result, {entry.term, m_applied}};
}

} // namespace fescuespring
