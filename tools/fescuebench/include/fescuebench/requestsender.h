#pragma once

#include "base/result.h"
#include "messages/request.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuespring {

// How a request ended at the caller. Reason is that of the answer, or what kept it from coming.
struct CallerResult
{
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    CallerAnswer answer;
};

// What a caller makes of an exchange that brought no answer.
CallerResult unanswered(const Error &error);

// Time beyond the deadline for which a caller still hopes for an answer.
constexpr std::chrono::milliseconds answerGrace{2000};

using CallerCallback = std::function<void(const CallerResult &)>;

// Carries requests to what is measured. Loop thread only.
class RequestSender
{
public:
    virtual ~RequestSender() = default;

    // Calls back once, not from inside the call.
    virtual void send(std::size_t entry, const CallerRequest &request, CallerCallback callback) = 0;
};

// Callers of VMs, as docs/PROTOCOLS.md says; an entry is one VM.
class VmSender : public RequestSender
{
public:
    VmSender(EventLoop &loop, const std::vector<Endpoint> &vms, std::size_t connections);

    void send(std::size_t entry, const CallerRequest &request, CallerCallback callback) override;

private:
    std::vector<std::unique_ptr<HttpClient>> m_clients;
};

} // namespace fescuespring
