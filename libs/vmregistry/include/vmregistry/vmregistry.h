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

// Time without a change of its record after which a VM counts as gone.
inline constexpr Duration vmSilenceLimit = std::chrono::seconds(25);

// Time after the renewal of its record for which a VM may take itself for known to the others; so
// one that counts as gone trusts nothing of what it read before.
inline constexpr Duration vmPresenceLease = std::chrono::seconds(20);

// How often a VM renews its record.
inline constexpr Duration vmRenewal = std::chrono::seconds(10);

// That a VM is there, as it writes to the store. Renewed all the time by every VM, so it is read
// now and then and not watched.
struct VmRecord
{
    VmId vm;
    DataCentreId dataCentre;

    // Where other VMs get what it knows of the store, and where they borrow its connections.
    Endpoint peers;
    Endpoint relay;

    // Tells the lives of one VM apart.
    std::string incarnation = {};

    // Rises with each renewal.
    std::uint64_t renewal = 0;

    bool operator==(const VmRecord &) const = default;
};

// What the others must learn of a VM at once, as it writes to the store. Counts for the life of the
// VM that wrote it.
struct VmNotice
{
    VmId vm;
    std::string incarnation = {};

    // It is about to stop.
    bool isStopping = false;

    // Databases that it hears nothing from.
    std::set<DatabaseId> silentDatabases = {};

    // Changes of leadership under way that it has read of, by the version of the announcement.
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

// The VMs of the installation as their records in the store tell. What is asked many times between
// two changes, such as the living VMs, is worked out once. One thread only, no clock.
class VmRegistry
{
public:
    void update(const VmRecord &record, Instant now);
    void update(const VmNotice &notice);
    void vanished(const VmId &vm);

    // VMs whose record changed lately and that are not about to stop, ordered by name. Valid until
    // the next call with a later time or a change.
    const std::vector<VmRecord> &living(Instant now) const;

    // Rises whenever other VMs are living; of no meaning but to be compared.
    std::uint64_t livingVersion(Instant now) const;

    // How many living VMs hear nothing from a database.
    std::size_t silentCount(const DatabaseId &database, Instant now) const;

    // Databases that a living VM hears nothing from, with the number of these VMs. Valid as
    // living() is.
    const std::map<DatabaseId, std::size_t> &silentDatabases(Instant now) const;

    // What a VM said in a life; null where nothing is known of that.
    const VmNotice *notice(const VmId &vm, const std::string &incarnation) const;

    // Whether this was a VM's record for so long that the VM counts as gone.
    bool isSilent(const VmRecord &record, Instant now) const;

    // Place of a VM among the living, from 0; their number if it is not among them.
    std::size_t rank(const VmId &vm, Instant now) const;

private:
    struct Known
    {
        VmRecord record;
        Instant changedAt;
    };

    // What follows from the records until one changes or falls silent.
    struct Digest
    {
        std::vector<VmRecord> living;
        std::map<DatabaseId, std::size_t> silent;
        Instant validUntil;
        std::uint64_t version = 0;
    };

    const Digest &digest(Instant now) const;

    std::map<VmId, Known> m_vms;
    std::map<VmId, VmNotice> m_notices;
    mutable Digest m_digest;
    mutable bool m_isStale = true;
};

} // namespace fescuespring
