#pragma once

#include "base/result.h"
#include "base/types.h"
#include "store/objectstore.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// A VM counts as gone when its record has not changed for this long.
inline constexpr Duration vmRecordExpiry = std::chrono::seconds(25);

// Time after the renewal of its record for which a VM may assume that the others see it as live.
// Shorter than vmRecordExpiry, so that a VM that counts as gone no longer relies on what it read.
inline constexpr Duration vmPresenceLease = std::chrono::seconds(20);

// Interval at which a VM renews its record.
inline constexpr Duration vmRenewalInterval = std::chrono::seconds(10);

// Presence record that each VM writes to the store. Since all VMs renew theirs periodically, the
// records are polled rather than watched.
struct VmRecord
{
    VmId vm;
    DataCentreId dataCentre;

    // Endpoints of its store feed and of the relay through which other VMs use its connections.
    Endpoint peers;
    Endpoint relay;

    // Distinguishes successive runs of the same VM.
    std::string incarnation = {};

    // Incremented with each renewal.
    std::uint64_t renewal = 0;

    bool operator==(const VmRecord &) const = default;
};

// State of a VM that the others need immediately; the VM writes it to the store. Valid only for the
// incarnation that wrote it.
struct VmNotice
{
    VmId vm;
    std::string incarnation = {};

    // It is about to stop.
    bool isStopping = false;

    // Databases that do not answer it.
    std::set<DatabaseId> unresponsiveDatabases = {};

    // Databases that answer it although another VM reports them as unresponsive.
    std::set<DatabaseId> confirmedDatabases = {};

    // Ongoing changes of leadership that it has read, with the version of their announcement.
    std::map<GroupId, ObjectVersion> changesRead = {};

    bool operator==(const VmNotice &) const = default;
};

inline constexpr std::string_view vmKeyPrefix = "fescue-vms/";
std::string vmKey(const VmId &vm);
std::string encodeVmRecord(const VmRecord &record);
Result<VmRecord> decodeVmRecord(std::string_view key, std::string_view text);

inline constexpr std::string_view noticeKeyPrefix = "fescue-notices/";
std::string noticeKey(const VmId &vm);
std::string encodeVmNotice(const VmNotice &notice);
Result<VmNotice> decodeVmNotice(std::string_view key, std::string_view text);

// The VMs of the installation according to their records in the store. Results that are queried
// often, such as the live VMs, are cached until a change. Single-threaded; uses no clock.
class VmRegistry
{
public:
    void update(const VmRecord &record, Instant now);
    void update(const VmNotice &notice);
    void remove(const VmId &vm);

    // VMs whose record has not expired and that are not about to stop, ordered by name. The
    // reference is valid until the next call with a later time or a change.
    const std::vector<VmRecord> &liveVms(Instant now) const;

    // Incremented whenever the set of live VMs changes; only meaningful for comparison.
    std::uint64_t liveVersion(Instant now) const;

    // Number of live VMs that report a database as unresponsive.
    std::size_t unresponsiveCount(const DatabaseId &database, Instant now) const;

    // Number of live VMs that confirm a database that others report.
    std::size_t confirmingCount(const DatabaseId &database, Instant now) const;

    // Databases that at least one live VM reports as unresponsive, with the number of these VMs.
    // The reference is valid as long as that of liveVms().
    const std::map<DatabaseId, std::size_t> &unresponsiveDatabases(Instant now) const;

    // The notice of one incarnation of a VM; null if there is none.
    const VmNotice *notice(const VmId &vm, const std::string &incarnation) const;

    // Whether this record of a VM has been unchanged for so long that the VM counts as gone.
    bool isExpired(const VmRecord &record, Instant now) const;

    // Index of a VM among the live VMs; their number if it is not one of them.
    std::size_t rank(const VmId &vm, Instant now) const;

    // The same, but VMs that report an unresponsive database come first: they have reached the
    // store since, while VMs that are cut off together with the database have not.
    std::size_t rankAfterReports(const VmId &vm, Instant now) const;

private:
    struct Entry
    {
        VmRecord record;
        Instant changedAt;
    };

    // Results derived from the records, valid until a record changes or expires.
    struct Summary
    {
        std::vector<VmRecord> liveVms;
        std::map<DatabaseId, std::size_t> unresponsive;
        std::map<DatabaseId, std::size_t> confirming;
        std::vector<VmId> reporters;
        Instant validUntil;
        std::uint64_t version = 0;
    };

    const Summary &summary(Instant now) const;

    std::map<VmId, Entry> m_vms;
    std::map<VmId, VmNotice> m_notices;
    mutable Summary m_summary;
    mutable bool m_isStale = true;
};

} // namespace fescuespring
