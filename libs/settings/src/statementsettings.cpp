#include "settings/statementsettings.h"

#include "settingsfile.h"

namespace fescuespring {

using detail::Presence;
using detail::readEndpointText;
using detail::Section;
using std::chrono::milliseconds;

namespace {

void readSettings(Section &section, StatementVmSettings &settings)
{
    section.name("vm", settings.vm);
    section.name("dataCentre", settings.dataCentre);
    readEndpointText(section, "callers", settings.callers);
    readEndpointText(section, "readiness", settings.readiness);
    readEndpointText(section, "metrics", settings.metrics);
    readEndpointText(section, "peers", settings.peers);
    readEndpointText(section, "relay", settings.relay);
    readEndpointText(section, "store", settings.store);
    readEndpointText(section, "promotions", settings.promotions);
    section.milliseconds("stopDeadlineMs", settings.stopDeadline,
                         {milliseconds(100), milliseconds(600'000)});
    section.milliseconds("departureNoticeMs", settings.departureNotice,
                         {milliseconds(0), milliseconds(3'600'000)});
    section.boolean("firstStart", settings.isFirstStart);
    section.number("maxCallerConnections", settings.maxCallerConnections, {1, 1'000'000});
    section.section("logging", Presence::Optional,
                    [&](Section &inner) { detail::readLogging(inner, settings.logging); });
    section.rejectUnknownFields();
}

} // namespace

StatementSettingsResult parseStatementSettings(std::string_view yaml)
{
    return detail::parseSettings<StatementVmSettings>(yaml, readSettings);
}

StatementSettingsResult loadStatementSettings(const std::string &path)
{
    return detail::loadSettings<StatementVmSettings>(path, readSettings);
}

} // namespace fescuespring
