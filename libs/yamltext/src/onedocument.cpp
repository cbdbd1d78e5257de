#include "yamltext/onedocument.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <exception>
#include <sstream>

namespace fescuespring {

namespace {

// Records the line where the last document recorder and ignores its content.
class DocumentStartRecorder : public YAML::EventHandler
{
public:
    int line() const
    {
        return m_line;
    }

    // The names are those of yaml-cpp.
    // NOLINTBEGIN(readability-identifier-naming)
    void OnDocumentStart(const YAML::Mark &mark) override
    {
        m_line = mark.line + 1;
    }
    void OnDocumentEnd() override
    {}
    void OnNull(const YAML::Mark &, YAML::anchor_t) override
    {}
    void OnAlias(const YAML::Mark &, YAML::anchor_t) override
    {}
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  const std::string &) override
    {}
    void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {}
    void OnSequenceEnd() override
    {}
    void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {}
    void OnMapEnd() override
    {}
    // NOLINTEND(readability-identifier-naming)

private:
    int m_line = 1;
};

Error malformed(std::string message, int line)
{
    return Error{.code = ErrorCode::Malformed, .message = std::move(message), .line = line};
}

Result<void> readDocuments(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    DocumentStartRecorder recorder;
    if (!parser.HandleNextDocument(recorder))
        return malformed("is empty", 1);
    if (parser.HandleNextDocument(recorder))
        return malformed("must be one YAML document, but goes on after its end", recorder.line());
    return boost::outcome_v2::success();
}

} // namespace

Result<void> checkOneDocument(const std::string &text)
{
    try {
        return readDocuments(text);
    } catch (const YAML::Exception &exception) {
        return malformed("is no YAML: " + exception.msg, exception.mark.line + 1);
    } catch (const std::exception &exception) {
        return malformed(exception.what(), 0);
    }
}

} // namespace fescuespring
