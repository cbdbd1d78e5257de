#include "fescuebench/controlcalls.h"

#include "codec/upstreamcodec.h"
#include "net/httpclient.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds callTimeout{3000};

// Fields of /proc/PID/stat between the command's closing bracket and the user time.
constexpr int fieldsBeforeUserTime = 11;

Duration cpuTimeOf(std::uint32_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    const std::size_t bracket = text.rfind(')');
    if (bracket == std::string::npos)
        return Duration(0);
    std::istringstream fields(text.substr(bracket + 1));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i)
        fields >> skipped;
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    const auto ticksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
    const std::chrono::duration<double> seconds(static_cast<double>(user + system)
                                                / ticksPerSecond);
    return std::chrono::duration_cast<Duration>(seconds);
}

} // namespace

Result<HttpResponse> callAndWait(EventLoop &loop, const Endpoint &endpoint,
                                 const HttpRequest &request)
{
    HttpConnection connection(loop, {.endpoint = endpoint});
    std::optional<Result<HttpResponse>> answer;
    connection.send(request, callTimeout, [&loop, &answer](const Result<HttpResponse> &result) {
        answer = result;
        loop.stop();
    });
    while (!answer)
        loop.run();
    return std::move(*answer);
}

std::optional<Error> setFaults(EventLoop &loop, const BenchDatabase &database,
                               const std::string &faults)
{
    const auto answer =
            callAndWait(loop, database.control,
                        {.method = "POST", .target = "/control/faults", .body = faults});
    if (!answer)
        return answer.error();
    if (answer.value().status != 200)
        return Error{ErrorCode::Refused, answer.value().body};
    return std::nullopt;
}

Result<BenchPrimary> primaryOf(EventLoop &loop, const BenchOptions &options, const GroupId &group)
{
    std::optional<BenchPrimary> primary;
    for (const BenchDatabase &database : options.databases) {
        if (database.group != group)
            continue;
        BOOST_OUTCOME_TRY(const HttpResponse answer,
                          callAndWait(loop, database.data, {.target = "/v1/status"}));
        BOOST_OUTCOME_TRY(const DatabaseStatus status, decodeDatabaseStatus(answer.body));
        if (status.role == Role::Primary && (!primary || status.term > primary->term))
            primary = BenchPrimary{database, status.term};
    }
    if (!primary)
        return Error{ErrorCode::NotFound,
                     "no primary of group " + group.value() + " among --databases"};
    return std::move(*primary);
}

Duration cpuTimeOf(const std::vector<std::uint32_t> &processes)
{
    Duration total{0};
    for (const std::uint32_t process : processes)
        total += cpuTimeOf(process);
    return total;
}

} // namespace fescuespring
