#pragma once

#include "arguments.h"
#include "commands.h"
#include "planlists/listeditor.h"

#include <chrono>
#include <string>
#include <vector>

namespace fescuespring {

// The options of every command that asks the platform: --platform and --timeout-ms.
void addPlatformOptions(Arguments &arguments);

// The platform that the options name, and how long to wait for it.
struct PlatformTarget
{
    Endpoint endpoint = {};
    std::chrono::milliseconds timeout{0};
};

Result<PlatformTarget> platformTarget(const Arguments &arguments);

// The objects of both lists as they stand at the platform: the plans first, then the customers.
Result<std::vector<StoredObject>> readLists(const PlatformTarget &platform);

// Prints what went wrong with reading and what to do about it.
ToolOutcome unreachable(const PlatformTarget &platform, const Error &error, ToolStreams streams);

// Makes one edit and prints what became of it; blocks.
ToolOutcome makeEdit(const PlatformTarget &platform, const ListEdit &edit, bool asJson,
                     ToolStreams streams);

// Adds the platform's options, parses words and runs a command with the platform that they name.
ToolOutcome
runListCommand(Arguments &arguments, const std::vector<std::string> &words, ToolStreams streams,
               ToolOutcome (*run)(const Arguments &, const PlatformTarget &, ToolStreams));

// A new id for an edit.
std::string newEditId();

} // namespace fescuespring
