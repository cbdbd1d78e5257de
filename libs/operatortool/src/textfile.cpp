#include "textfile.h"

#include <fstream>
#include <sstream>

namespace fescuespring {

Result<std::string> readTextFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return Error{.code = ErrorCode::NotFound, .message = path + " cannot be read, or is empty"};
    return text.str();
}

Result<void> writeTextFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file)
        return Error{.code = ErrorCode::Unavailable, .message = path + " cannot be written"};
    return boost::outcome_v2::success();
}

} // namespace fescuespring
