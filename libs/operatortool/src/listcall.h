#pragma once

#include "arguments.h"
#include "commands.h"
#include "planlists/listeditor.h"

#include <chrono>
#include <string>
#include <vector>

namespace fescuespring {

// Adds the options of every command that calls the platform: --platform and --timeout-ms.
void addPlatformOptions(Arguments &arguments);

// The platform given by the options, and the timeout of calls to it.
struct PlatformTarget
{
    Endpoint endpoint = {};
    std::chrono::milliseconds timeout{0};
};

Result<PlatformTarget> platformTarget(const Arguments &arguments);

// Reads the objects of both lists from the platform: the plans first, then the customers.
Result<std::vector<StoredObject>> readLists(const PlatformTarget &platform);

// Prints a read error and a hint for the operator.
ToolOutcome reportUnreachable(const PlatformTarget &platform, const Error &error,
                              ToolStreams streams);

// Makes one edit and prints its outcome; blocks.
ToolOutcome makeEdit(const PlatformTarget &platform, const ListEdit &edit, bool asJson,
                     ToolStreams streams);

// Adds the platform's options, parses words and runs a command against the given platform.
ToolOutcome
runListCommand(Arguments &arguments, const std::vector<std::string> &words, ToolStreams streams,
               ToolOutcome (*run)(const Arguments &, const PlatformTarget &, ToolStreams));

// A random id for an edit.
std::string newEditId();

} // namespace fescuespring
