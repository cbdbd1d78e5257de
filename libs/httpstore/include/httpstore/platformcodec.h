#pragma once

#include "store/objectstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// JSON of the platform's requests and replies. Unknown fields are ignored; no function throws.
Result<StoredObject> decodeObject(std::string_view text);
Result<std::vector<StoredObject>> decodeObjects(std::string_view text);
Result<ObjectVersion> decodeVersion(std::string_view text);
Result<std::vector<PlatformVm>> decodeVms(std::string_view text);

std::string encodeWrite(const ObjectWrite &write);

} // namespace fescuespring
