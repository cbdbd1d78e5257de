#include "valuepatch/valuepatch.h"

#include <openssl/evp.h>

#include <memory>
#include <zstd.h>

namespace fescuespring {

namespace {

// zstd level. A patch is made once and applied by many VMs, and both must be cheap.
constexpr int compressionLevel = 3;

// Binary logarithm of the distance over which matches between the two values are found: 8 MB.
constexpr int windowLog = 23;

struct FreeContext
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

Error malformed(const char *message)
{
    return {.code = ErrorCode::Malformed, .message = message};
}

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    const std::size_t padding = text.size() - (text.find_last_not_of('=') + 1);
    if (padding > 2)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace

std::optional<std::string> makePatch(std::string_view before, std::string_view after)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    if (!context)
        return std::nullopt;
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    ZSTD_CCtx_refPrefix(context.get(), before.data(), before.size());
    std::string patch(ZSTD_compressBound(after.size()), '\0');
    const std::size_t size =
            ZSTD_compress2(context.get(), patch.data(), patch.size(), after.data(), after.size());
    if (ZSTD_isError(size) != 0)
        return std::nullopt;
    patch.resize(size);
    return toBase64(patch);
}

Result<std::string> applyPatch(std::string_view before, std::string_view patch,
                               std::size_t maximumBytes)
{
    const std::optional<std::string> bytes = fromBase64(patch);
    if (!bytes)
        return malformed("patch is not valid Base64");
    const unsigned long long size = ZSTD_getFrameContentSize(bytes->data(), bytes->size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return malformed("patch is not a compressed value");
    if (size > maximumBytes)
        return Error{.code = ErrorCode::TooLarge, .message = "patched value is too long"};
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!context)
        return Error{.code = ErrorCode::Internal,
                     .message = "out of memory while applying a patch"};
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, windowLog);
    ZSTD_DCtx_refPrefix(context.get(), before.data(), before.size());
    std::string after(size, '\0');
    const std::size_t length = ZSTD_decompressDCtx(context.get(), after.data(), after.size(),
                                                   bytes->data(), bytes->size());
    if (ZSTD_isError(length) != 0 || length != after.size())
        return malformed("patch does not apply to this value");
    return after;
}

} // namespace fescuespring
