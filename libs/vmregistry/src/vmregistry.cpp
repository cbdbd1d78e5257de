#include "vmregistry/vmregistry.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace json = boost::json;

namespace fescuespring {

namespace {

// Reads the fields of one record and keeps track of missing or invalid ones.
class Fields
{
public:
    explicit Fields(std::string_view text)
    {
        boost::system::error_code error;
        m_value = json::parse(text, error);
        m_isComplete = !error && m_value.is_object();
    }

    std::string text(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_string())
            return std::string(value->get_string());
        m_isComplete = false;
        return {};
    }

    std::int64_t integer(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_int64())
            return value->get_int64();
        m_isComplete = false;
        return 0;
    }

    std::uint16_t port(std::string_view name)
    {
        const std::int64_t number = integer(name);
        if (number >= 0 && number <= UINT16_MAX)
            return static_cast<std::uint16_t>(number);
        m_isComplete = false;
        return 0;
    }

    bool boolean(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_bool())
            return value->get_bool();
        m_isComplete = false;
        return false;
    }

    // Empty if the field is missing, as in the records of earlier versions.
    std::set<DatabaseId> optionalDatabases(std::string_view name)
    {
        return find(name) ? databases(name) : std::set<DatabaseId>();
    }

    std::set<DatabaseId> databases(std::string_view name)
    {
        std::set<DatabaseId> databases;
        const json::value *value = find(name);
        m_isComplete = m_isComplete && value && value->is_array();
        if (!m_isComplete)
            return databases;
        for (const json::value &database : value->get_array()) {
            if (database.is_string())
                databases.insert(DatabaseId(std::string(database.get_string())));
            else
                m_isComplete = false;
        }
        return databases;
    }

    std::map<GroupId, ObjectVersion> versions(std::string_view name)
    {
        std::map<GroupId, ObjectVersion> versions;
        const json::value *value = find(name);
        m_isComplete = m_isComplete && value && value->is_object();
        if (!m_isComplete)
            return versions;
        for (const json::key_value_pair &field : value->get_object()) {
            if (field.value().is_int64())
                versions[GroupId(std::string(field.key()))] =
                        ObjectVersion(static_cast<std::uint64_t>(field.value().get_int64()));
            else
                m_isComplete = false;
        }
        return versions;
    }

    bool isComplete() const
    {
        return m_isComplete;
    }

private:
    const json::value *find(std::string_view name) const
    {
        const json::object *fields = m_value.if_object();
        return fields ? fields->if_contains(name) : nullptr;
    }

    json::value m_value;
    bool m_isComplete = false;
};

json::array encode(const std::set<DatabaseId> &databases)
{
    json::array names;
    for (const DatabaseId &database : databases)
        names.emplace_back(database.value());
    return names;
}

std::size_t countOf(const std::map<DatabaseId, std::size_t> &counts, const DatabaseId &database)
{
    const auto found = counts.find(database);
    return found == counts.end() ? 0 : found->second;
}

Error unreadable(std::string_view key)
{
    return {.code = ErrorCode::Malformed,
            .message = "invalid VM record",
            .field = std::string(key)};
}

} // namespace

std::string vmKey(const VmId &vm)
{
    return std::string(vmKeyPrefix) + vm.value();
}

std::string noticeKey(const VmId &vm)
{
    return std::string(noticeKeyPrefix) + vm.value();
}

std::string encodeVmRecord(const VmRecord &record)
{
    return json::serialize(json::object{{"dataCentre", record.dataCentre.value()},
                                        {"ip", record.peers.ip},
                                        {"port", record.peers.port},
                                        {"relayPort", record.relay.port},
                                        {"incarnation", record.incarnation},
                                        {"renewal", record.renewal}});
}

Result<VmRecord> decodeVmRecord(std::string_view key, std::string_view text)
{
    if (!key.starts_with(vmKeyPrefix))
        return unreadable(key);
    Fields fields(text);
    const std::string ip = fields.text("ip");
    const VmRecord record{.vm = VmId(std::string(key.substr(vmKeyPrefix.size()))),
                          .dataCentre = DataCentreId(fields.text("dataCentre")),
                          .peers = {ip, fields.port("port")},
                          .relay = {ip, fields.port("relayPort")},
                          .incarnation = fields.text("incarnation"),
                          .renewal = static_cast<std::uint64_t>(fields.integer("renewal"))};
    if (!fields.isComplete())
        return unreadable(key);
    return record;
}

std::string encodeVmNotice(const VmNotice &notice)
{
    json::object read;
    for (const auto &[group, version] : notice.changesRead)
        read[group.value()] = version.value();
    return json::serialize(json::object{{"incarnation", notice.incarnation},
                                        {"stopping", notice.isStopping},
                                        {"silent", encode(notice.unresponsiveDatabases)},
                                        {"answering", encode(notice.confirmedDatabases)},
                                        {"changesRead", std::move(read)}});
}

Result<VmNotice> decodeVmNotice(std::string_view key, std::string_view text)
{
    if (!key.starts_with(noticeKeyPrefix))
        return unreadable(key);
    Fields fields(text);
    VmNotice notice{.vm = VmId(std::string(key.substr(noticeKeyPrefix.size()))),
                    .incarnation = fields.text("incarnation"),
                    .isStopping = fields.boolean("stopping"),
                    .unresponsiveDatabases = fields.databases("silent"),
                    .confirmedDatabases = fields.optionalDatabases("answering"),
                    .changesRead = fields.versions("changesRead")};
    if (!fields.isComplete())
        return unreadable(key);
    return notice;
}

void VmRegistry::update(const VmRecord &record, Instant now)
{
    const auto found = m_vms.find(record.vm);
    // A record with an earlier renewal was brought back by a restore of the store.
    const bool isKnown = found != m_vms.end()
                         && found->second.record.incarnation == record.incarnation
                         && found->second.record.renewal >= record.renewal;
    if (isKnown)
        return;
    m_vms[record.vm] = {record, now};
    m_isStale = true;
}

void VmRegistry::update(const VmNotice &notice)
{
    m_notices[notice.vm] = notice;
    m_isStale = true;
}

const VmNotice *VmRegistry::notice(const VmId &vm, const std::string &incarnation) const
{
    const auto found = m_notices.find(vm);
    const bool isCurrent = found != m_notices.end() && found->second.incarnation == incarnation;
    return isCurrent ? &found->second : nullptr;
}

bool VmRegistry::isExpired(const VmRecord &record, Instant now) const
{
    const auto entry = m_vms.find(record.vm);
    return entry != m_vms.end() && entry->second.record == record
           && now >= entry->second.changedAt + vmRecordExpiry;
}

void VmRegistry::remove(const VmId &vm)
{
    m_vms.erase(vm);
    m_isStale = true;
}

const VmRegistry::Summary &VmRegistry::summary(Instant now) const
{
    if (!m_isStale && now < m_summary.validUntil)
        return m_summary;
    Summary updated{.validUntil = Instant::max(), .version = m_summary.version};
    for (const auto &[vm, entry] : m_vms) {
        const Instant expiresAt = entry.changedAt + vmRecordExpiry;
        const VmNotice *notice = this->notice(entry.record.vm, entry.record.incarnation);
        if (now >= expiresAt || (notice && notice->isStopping))
            continue;
        updated.validUntil = std::min(updated.validUntil, expiresAt);
        updated.liveVms.push_back(entry.record);
        if (!notice)
            continue;
        if (!notice->unresponsiveDatabases.empty())
            updated.reporters.push_back(entry.record.vm);
        for (const DatabaseId &database : notice->unresponsiveDatabases)
            ++updated.unresponsive[database];
        for (const DatabaseId &database : notice->confirmedDatabases)
            ++updated.confirming[database];
    }
    const bool isUnchanged = std::ranges::equal(updated.liveVms, m_summary.liveVms, {},
                                                &VmRecord::vm, &VmRecord::vm);
    updated.version += isUnchanged ? 0 : 1;
    m_summary = std::move(updated);
    m_isStale = false;
    return m_summary;
}

const std::vector<VmRecord> &VmRegistry::liveVms(Instant now) const
{
    return summary(now).liveVms;
}

std::uint64_t VmRegistry::liveVersion(Instant now) const
{
    return summary(now).version;
}

std::size_t VmRegistry::unresponsiveCount(const DatabaseId &database, Instant now) const
{
    return countOf(summary(now).unresponsive, database);
}

std::size_t VmRegistry::confirmingCount(const DatabaseId &database, Instant now) const
{
    return countOf(summary(now).confirming, database);
}

const std::map<DatabaseId, std::size_t> &VmRegistry::unresponsiveDatabases(Instant now) const
{
    return summary(now).unresponsive;
}

std::size_t VmRegistry::rank(const VmId &vm, Instant now) const
{
    const std::vector<VmRecord> &vms = liveVms(now);
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&vm](const VmRecord &record) { return record.vm == vm; });
    return static_cast<std::size_t>(found - vms.begin());
}

std::size_t VmRegistry::rankAfterReports(const VmId &vm, Instant now) const
{
    const std::vector<VmId> &reporters = summary(now).reporters;
    const auto found = std::ranges::find(reporters, vm);
    if (found != reporters.end())
        return static_cast<std::size_t>(found - reporters.begin());
    return reporters.size() + rank(vm, now);
}

} // namespace fescuespring
