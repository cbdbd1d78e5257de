#pragma once

#include "base/result.h"
#include "databasemodel/log.h"

#include <chrono>
#include <string>

namespace fescuespring {

// Replication between stand-ins: GET /v1/log?from=D&term=F&after=P&afterTerm=T&waitMs=W, answered
// with a LogBatch. F is the term that the replica follows under.
std::string logTarget(const LogRequest &request, std::chrono::milliseconds wait);

LogRequest logRequestOf(const std::string &target);

// How long the replica allows the primary to wait for something new.
std::chrono::milliseconds logWaitOf(const std::string &target);

std::string encodeLogBatch(const LogBatch &batch);
Result<LogBatch> decodeLogBatch(const std::string &text);

} // namespace fescuespring
