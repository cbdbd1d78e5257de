#include "fescuebench/requestsender.h"

#include "codec/requestcodec.h"

#include <utility>

namespace fescuespring {

namespace {

constexpr std::size_t maximumWaiting = 1'000'000;

CallerResult callerResult(const Result<HttpResponse> &result)
{
    if (!result)
        return unanswered(result.error());
    auto answer = decodeCallerAnswer(result.value().body);
    if (!answer)
        return {Outcome::Unknown, "unreadable-answer", {}};
    const Outcome outcome = answer.value().outcome;
    return {outcome, toString(answer.value().reason), std::move(answer.value())};
}

} // namespace

CallerResult unanswered(const Error &error)
{
    const bool unsent =
            error.code == ErrorCode::Unreachable || error.code == ErrorCode::Unavailable;
    return {unsent ? Outcome::NotRun : Outcome::Unknown, toString(error.code), {}};
}

VmSender::VmSender(EventLoop &loop, const std::vector<Endpoint> &vms, std::size_t connections)
{
    for (const Endpoint &vm : vms)
        m_clients.push_back(std::make_unique<HttpClient>(
                loop, HttpClientOptions{.endpoint = vm,
                                        .maxConnections = connections,
                                        .maxWaiting = maximumWaiting}));
}

void VmSender::send(std::size_t entry, const CallerRequest &request, CallerCallback callback)
{
    m_clients[entry % m_clients.size()]->send(
            {.method = "POST", .target = "/v1/request", .body = encodeCallerRequest(request)},
            request.deadline + answerGrace,
            [callback = std::move(callback)](const Result<HttpResponse> &result) {
                callback(callerResult(result));
            });
}

} // namespace fescuespring
