#include "vmregistry/vmregistry.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace json = boost::json;

namespace fescuespring {

namespace {

// The fields of one record; whether all that were asked for were there.
class Fields
{
public:
    explicit Fields(std::string_view text)
    {
        boost::system::error_code error;
        m_value = json::parse(text, error);
        m_isWhole = !error && m_value.is_object();
    }

    std::string text(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_string())
            return std::string(value->get_string());
        m_isWhole = false;
        return {};
    }

    std::int64_t whole(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_int64())
            return value->get_int64();
        m_isWhole = false;
        return 0;
    }

    bool truth(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_bool())
            return value->get_bool();
        m_isWhole = false;
        return false;
    }

    std::set<DatabaseId> databases(std::string_view name)
    {
        std::set<DatabaseId> databases;
        const json::value *value = find(name);
        m_isWhole = m_isWhole && value && value->is_array();
        if (!m_isWhole)
            return databases;
        for (const json::value &database : value->get_array()) {
            if (database.is_string())
                databases.insert(DatabaseId(std::string(database.get_string())));
            else
                m_isWhole = false;
        }
        return databases;
    }

    std::map<GroupId, ObjectVersion> versions(std::string_view name)
    {
        std::map<GroupId, ObjectVersion> versions;
        const json::value *value = find(name);
        m_isWhole = m_isWhole && value && value->is_object();
        if (!m_isWhole)
            return versions;
        for (const json::key_value_pair &field : value->get_object()) {
            if (field.value().is_int64())
                versions[GroupId(std::string(field.key()))] =
                        ObjectVersion(static_cast<std::uint64_t>(field.value().get_int64()));
            else
                m_isWhole = false;
        }
        return versions;
    }

    bool isWhole() const
    {
        return m_isWhole;
    }

private:
    const json::value *find(std::string_view name) const
    {
        const json::object *fields = m_value.if_object();
        return fields ? fields->if_contains(name) : nullptr;
    }

    json::value m_value;
    bool m_isWhole = false;
};

Error unreadable(std::string_view key)
{
    return {.code = ErrorCode::Malformed,
            .message = "unreadable record of a VM",
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
                          .peers = {ip, static_cast<std::uint16_t>(fields.whole("port"))},
                          .relay = {ip, static_cast<std::uint16_t>(fields.whole("relayPort"))},
                          .incarnation = fields.text("incarnation"),
                          .renewal = static_cast<std::uint64_t>(fields.whole("renewal"))};
    if (!fields.isWhole())
        return unreadable(key);
    return record;
}

std::string encodeVmNotice(const VmNotice &notice)
{
    json::array silent;
    for (const DatabaseId &database : notice.silentDatabases)
        silent.emplace_back(database.value());
    json::object read;
    for (const auto &[group, version] : notice.changesRead)
        read[group.value()] = version.value();
    return json::serialize(json::object{{"incarnation", notice.incarnation},
                                        {"stopping", notice.isStopping},
                                        {"silent", std::move(silent)},
                                        {"changesRead", std::move(read)}});
}

Result<VmNotice> decodeVmNotice(std::string_view key, std::string_view text)
{
    if (!key.starts_with(noticeKeyPrefix))
        return unreadable(key);
    Fields fields(text);
    VmNotice notice{.vm = VmId(std::string(key.substr(noticeKeyPrefix.size()))),
                    .incarnation = fields.text("incarnation"),
                    .isStopping = fields.truth("stopping"),
                    .silentDatabases = fields.databases("silent"),
                    .changesRead = fields.versions("changesRead")};
    if (!fields.isWhole())
        return unreadable(key);
    return notice;
}

void VmRegistry::update(const VmRecord &record, Instant now)
{
    const auto found = m_vms.find(record.vm);
    if (found != m_vms.end() && found->second.record == record)
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
    const bool isOfThisLife = found != m_notices.end() && found->second.incarnation == incarnation;
    return isOfThisLife ? &found->second : nullptr;
}

bool VmRegistry::isSilent(const VmRecord &record, Instant now) const
{
    const auto known = m_vms.find(record.vm);
    return known != m_vms.end() && known->second.record == record
           && now >= known->second.changedAt + vmSilenceLimit;
}

void VmRegistry::vanished(const VmId &vm)
{
    m_vms.erase(vm);
    m_isStale = true;
}

const VmRegistry::Digest &VmRegistry::digest(Instant now) const
{
    if (!m_isStale && now < m_digest.validUntil)
        return m_digest;
    Digest fresh{.validUntil = Instant::max(), .version = m_digest.version};
    for (const auto &[vm, known] : m_vms) {
        const Instant goneAt = known.changedAt + vmSilenceLimit;
        const VmNotice *notice = this->notice(known.record.vm, known.record.incarnation);
        if (now >= goneAt || (notice && notice->isStopping))
            continue;
        fresh.validUntil = std::min(fresh.validUntil, goneAt);
        fresh.living.push_back(known.record);
        if (!notice)
            continue;
        for (const DatabaseId &database : notice->silentDatabases)
            ++fresh.silent[database];
    }
    const bool isSame =
            std::ranges::equal(fresh.living, m_digest.living, {}, &VmRecord::vm, &VmRecord::vm);
    fresh.version += isSame ? 0 : 1;
    m_digest = std::move(fresh);
    m_isStale = false;
    return m_digest;
}

const std::vector<VmRecord> &VmRegistry::living(Instant now) const
{
    return digest(now).living;
}

std::uint64_t VmRegistry::livingVersion(Instant now) const
{
    return digest(now).version;
}

std::size_t VmRegistry::silentCount(const DatabaseId &database, Instant now) const
{
    const std::map<DatabaseId, std::size_t> &silent = digest(now).silent;
    const auto found = silent.find(database);
    return found == silent.end() ? 0 : found->second;
}

const std::map<DatabaseId, std::size_t> &VmRegistry::silentDatabases(Instant now) const
{
    return digest(now).silent;
}

std::size_t VmRegistry::rank(const VmId &vm, Instant now) const
{
    const std::vector<VmRecord> &vms = living(now);
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&vm](const VmRecord &record) { return record.vm == vm; });
    return static_cast<std::size_t>(found - vms.begin());
}

} // namespace fescuespring
