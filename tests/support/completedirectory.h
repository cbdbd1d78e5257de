#pragma once

#include "directory/upstreamdirectory.h"

namespace fescuespring {

// Makes a directory complete for a test without a store: as if that had answered until now.
inline void completeDirectory(UpstreamDirectory &directory, Instant now)
{
    for (Duration age = missingEntryGrace * 2; age >= Duration(0); age -= longestAnswerGap / 2)
        directory.storeAnswered(now - age, now - age);
}

} // namespace fescuespring
