// What a VM writes to the store about itself, and what others conclude from it: its presence, its
// notices, and the origin of the records.
#include "coordination/coordinator.h"
#include "recordwrites.h"
#include "store/objectversion.h"

#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds listTimeout{600};

// Time after the start in which a VM that starts for the first time waits for the origin of the
// records. After that, the primaries are confirmed as after a restore of the store.
constexpr Duration originTime = milliseconds(8000);

// With more VMs than this, changes wait for leases to expire instead of confirmations, which all
// VMs would write to the store at once.
constexpr std::size_t maximumConfirmingVms = 400;

} // namespace

void Coordinator::renew()
{
    m_lastRenewalAt = now();
    ++m_own.renewal;
    m_ownRecord.write(encodeVmRecord(m_own));
}

// A VM that announces a change lists the VMs in the store. The lease of this VM is therefore valid
// only once its record is stored, and ends before the others treat an unrenewed record as expired.
// So it is after a restore of the store, which may have lost the record.
void Coordinator::renewed(Instant sentAt, ObjectVersion version)
{
    const StoreEpoch epoch = epochOf(version);
    const bool begins = now() >= m_presence.end || epoch != m_presence.epoch;
    if (begins) {
        m_presence.since = now();
        m_presence.epoch = epoch;
        m_upstreams.context().log.info("presence-recorded",
                                       {{"renewal", m_own.renewal}, {"epoch", epoch}});
    }
    m_presence.end = sentAt + vmPresenceLease;
    m_upstreams.leadership().limitLease(m_presence);
    if (begins)
        leadershipChanged();
}

// Whether the records tell that no group ever had a change of primary. A VM that has seen a
// restore, or has run before, cannot tell that.
bool Coordinator::mayWriteOrigin() const
{
    const bool isFirstEpoch = m_epoch && *m_epoch != StoreEpoch() && !m_wasRestored;
    return m_options.isFirstStart && isFirstEpoch && !m_isRestart && m_records
           && m_records->objects.empty() && now() - m_startedAt < originTime;
}

void Coordinator::writeOrigin()
{
    const bool isFirst = m_isSettled && m_vms.rank(m_options.vm, now()) == 0;
    if (!isFirst || std::exchange(m_isWritingOrigin, true))
        return;
    m_store.write({originKey(), encodeOrigin(*m_epoch), ObjectVersion()},
                  detail::recordWriteTimeout,
                  [this, alive = std::weak_ptr(m_alive)](const Result<WriteAnswer> &answer) {
                      if (alive.expired())
                          return;
                      m_isWritingOrigin = false;
                      m_upstreams.context().log.info(
                              "origin-recorded",
                              {{"epoch", *m_epoch}, {"written", answer && answer.value().written}});
                      leadershipChanged();
                  });
}

// Confirms to the VM that announced a change that it was read here, so that it need not wait for
// the lease of this VM.
void Coordinator::confirmChangesRead(const LeadershipSnapshot &snapshot)
{
    std::map<GroupId, ObjectVersion> read;
    bool isNew = false;
    for (const LeadershipRecord &record : snapshot.records) {
        if (!record.isChanging)
            continue;
        read[record.group] = record.version;
        const auto before = m_notice.changesRead.find(record.group);
        isNew = isNew || before == m_notice.changesRead.end() || before->second < record.version;
    }
    m_notice.changesRead = std::move(read);
    if (isNew && m_vms.liveVms(now()).size() <= maximumConfirmingVms)
        m_ownNotice.write(encodeVmNotice(m_notice));
}

void Coordinator::leaseHolders(const std::function<void(std::vector<VmIncarnation>)> &done)
{
    m_store.list(std::string(vmKeyPrefix), listTimeout,
                 [this, done, alive = std::weak_ptr(m_alive)](
                         const Result<std::vector<StoredObject>> &objects) {
                     if (alive.expired() || !objects)
                         return;
                     std::vector<VmIncarnation> holders;
                     for (const StoredObject &object : objects.value()) {
                         const auto record = decodeVmRecord(object.key, object.value);
                         // An invalid record may belong to any VM, and a restored store may lack
                         // records, so the leases are waited for.
                         if (!record || epochOf(object.version) != m_epoch)
                             return;
                         if (!m_vms.isExpired(record.value(), now()))
                             holders.push_back({record.value().vm, record.value().incarnation});
                     }
                     done(std::move(holders));
                 });
}

void Coordinator::announceStop()
{
    m_isStopping = true;
    m_notice.isStopping = true;
    m_ownNotice.write(encodeVmNotice(m_notice));
    m_succession->release();
}

} // namespace fescuespring
