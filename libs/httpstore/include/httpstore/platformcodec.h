#pragma once

#include "store/objectstore.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// JSON of the platform's requests and replies. Unknown fields are ignored; no function throws.
Result<StoredObject> decodeObject(std::string_view text);

// Fails if one of the objects cannot be decoded, with its position in the list: an edit is checked
// against all of them.
Result<std::vector<StoredObject>> decodeObjects(std::string_view text);

// VMs that cannot be decoded are left out and counted in unreadable.
Result<std::vector<PlatformVm>> decodeVms(std::string_view text, std::size_t &unreadable);

Result<ObjectVersion> decodeVersion(std::string_view text);

std::string encodeWrite(const ObjectWrite &write);

} // namespace fescuespring
