#include "settings/statementsettings.h"

#include "base/enumnames.h"
#include "settingsfile.h"

#include <array>

namespace fescuespring {

using detail::Presence;
using detail::readEndpointText;
using detail::Section;
using std::chrono::milliseconds;

namespace {

// Left of the grace period for the exit of the process.
constexpr milliseconds exitTime{250};

void readStopTimes(Section &section, StatementVmSettings &settings)
{
    section.seconds("stopGraceSeconds", settings.stopGrace,
                    {std::chrono::seconds(1), std::chrono::seconds(600)});
    milliseconds deadline{0};
    section.milliseconds("stopDeadlineMs", deadline, {milliseconds(100), milliseconds(600'000)});
    if (deadline > milliseconds(0))
        settings.ownStopDeadline = deadline;
}

void readRevocationBound(Section &section, StatementVmSettings &settings)
{
    milliseconds bound{0};
    section.milliseconds("revokeMs", bound, {milliseconds(1000), milliseconds(3'600'000)});
    if (bound > milliseconds(0))
        settings.revocationBound = bound;
}

void readAllowanceBound(Section &section, StatementVmSettings &settings)
{
    AllowanceBound bound{.window = milliseconds(0)};
    section.seconds("allowanceWindowSeconds", bound.window,
                    {std::chrono::seconds(0), std::chrono::seconds(3600)});
    section.real("allowanceExcess", bound.excess, {0, 1000});
    section.real("allowanceTolerance", bound.tolerance, {0, 1e9});
    if (bound.window > milliseconds(0))
        settings.allowanceBound = bound;
}

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
    readStopTimes(section, settings);
    section.milliseconds("departureNoticeMs", settings.departureNotice,
                         {milliseconds(0), milliseconds(3'600'000)});
    readRevocationBound(section, settings);
    readAllowanceBound(section, settings);
    section.boolean("firstStart", settings.isFirstStart);
    section.choice("databaseCapacity", settings.databaseCapacity, databaseCapacityFromString,
                   "fixed, learned");
    section.number("maxCallerConnections", settings.maxCallerConnections, {1, 1'000'000});
    section.section("logging", Presence::Optional,
                    [&](Section &inner) { detail::readLogging(inner, settings.logging); });
    section.rejectUnknownFields();
}

} // namespace

std::optional<DatabaseCapacity> databaseCapacityFromString(std::string_view text)
{
    constexpr std::array names{"fixed", "learned"};
    return detail::enumFromName<DatabaseCapacity>(names, text);
}

milliseconds StatementVmSettings::stopDeadline() const
{
    return ownStopDeadline.value_or(stopGrace - exitTime);
}

StatementSettingsResult parseStatementSettings(std::string_view yaml)
{
    return detail::parseSettings<StatementVmSettings>(yaml, readSettings);
}

StatementSettingsResult loadStatementSettings(const std::string &path)
{
    return detail::loadSettings<StatementVmSettings>(path, readSettings);
}

} // namespace fescuespring
