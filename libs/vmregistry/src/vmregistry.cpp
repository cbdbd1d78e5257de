#include "vmregistry/vmregistry.h"

#include <boost/json.hpp>

#include <algorithm>

namespace json = boost::json;

namespace fescuespring {

std::string vmKey(const VmId &vm)
{
    return std::string(vmKeyPrefix) + vm.value();
}

std::string encodeVmRecord(const VmRecord &record)
{
    json::array silent;
    for (const DatabaseId &database : record.silentDatabases)
        silent.emplace_back(database.value());
    return json::serialize(json::object{{"dataCentre", record.dataCentre.value()},
                                        {"ip", record.peers.ip},
                                        {"port", record.peers.port},
                                        {"relayPort", record.relay.port},
                                        {"renewal", record.renewal},
                                        {"stopping", record.isStopping},
                                        {"silent", std::move(silent)}});
}

Result<VmRecord> decodeVmRecord(std::string_view key, std::string_view text)
{
    const Error unreadable{.code = ErrorCode::Malformed,
                           .message = "unreadable record of a VM",
                           .field = std::string(key)};
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object() || !key.starts_with(vmKeyPrefix))
        return unreadable;
    const json::object &fields = value.get_object();
    const json::value *dataCentre = fields.if_contains("dataCentre");
    const json::value *ip = fields.if_contains("ip");
    const json::value *port = fields.if_contains("port");
    const json::value *relayPort = fields.if_contains("relayPort");
    const json::value *renewal = fields.if_contains("renewal");
    const json::value *stopping = fields.if_contains("stopping");
    const json::value *silent = fields.if_contains("silent");
    const bool isWhole = dataCentre && dataCentre->is_string() && ip && ip->is_string() && port
                         && port->is_int64() && relayPort && relayPort->is_int64() && renewal
                         && renewal->is_int64() && stopping && stopping->is_bool() && silent
                         && silent->is_array();
    if (!isWhole)
        return unreadable;
    VmRecord record{
            .vm = VmId(std::string(key.substr(vmKeyPrefix.size()))),
            .dataCentre = DataCentreId(std::string(dataCentre->get_string())),
            .peers = {std::string(ip->get_string()), static_cast<std::uint16_t>(port->get_int64())},
            .relay = {std::string(ip->get_string()),
                      static_cast<std::uint16_t>(relayPort->get_int64())},
            .renewal = static_cast<std::uint64_t>(renewal->get_int64()),
            .isStopping = stopping->get_bool()};
    for (const json::value &database : silent->get_array()) {
        if (!database.is_string())
            return unreadable;
        record.silentDatabases.insert(DatabaseId(std::string(database.get_string())));
    }
    return record;
}

void VmRegistry::update(const VmRecord &record, Instant now)
{
    const auto found = m_vms.find(record.vm);
    if (found != m_vms.end() && found->second.record == record)
        return;
    m_vms[record.vm] = {record, now};
    m_isStale = true;
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
        if (known.record.isStopping || now >= goneAt)
            continue;
        fresh.validUntil = std::min(fresh.validUntil, goneAt);
        fresh.living.push_back(known.record);
        for (const DatabaseId &database : known.record.silentDatabases)
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

std::size_t VmRegistry::rank(const VmId &vm, Instant now) const
{
    const std::vector<VmRecord> &vms = living(now);
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&vm](const VmRecord &record) { return record.vm == vm; });
    return static_cast<std::size_t>(found - vms.begin());
}

} // namespace fescuespring
