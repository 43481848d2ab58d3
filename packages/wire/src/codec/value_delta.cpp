#include <catkintally/wire/codec/value_delta.hpp>

#include <boost/leaf/error.hpp>

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace catkintally::wire
{

namespace leaf = boost::leaf;

namespace
{

/// Logarithms of the shortest and the longest window; the latter holds a base and a value of 4 MB.
constexpr int least_window_log = 10;
constexpr int largest_window_log = 23;

struct context_deleter
{
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/// The window must reach from the end of the value back to the start of the base.
int window_log(std::size_t bytes)
{
    return std::clamp(
        static_cast<int>(std::bit_width(bytes)), least_window_log, largest_window_log);
}

} // namespace

std::optional<std::string> encode_delta(std::string_view base, std::string_view value)
{
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, ZSTD_CLEVEL_DEFAULT);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(base.size() + value.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string delta(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size =
        ZSTD_compress2(context.get(), delta.data(), delta.size(), value.data(), value.size());
    if (ZSTD_isError(size) != 0U || size > value.size() / 2)
    {
        return std::nullopt;
    }
    delta.resize(size);
    return delta;
}

leaf::result<std::string>
apply_delta(std::string_view base, std::string_view delta, std::size_t limit)
{
    const unsigned long long expected = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (expected == ZSTD_CONTENTSIZE_UNKNOWN || expected == ZSTD_CONTENTSIZE_ERROR)
    {
        return leaf::new_error(frame_error::malformed);
    }
    if (expected > limit)
    {
        return leaf::new_error(frame_error::too_large);
    }
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context(ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, largest_window_log);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(static_cast<std::size_t>(expected), '\0');
    const std::size_t size =
        ZSTD_decompressDCtx(context.get(), value.data(), value.size(), delta.data(), delta.size());
    if (ZSTD_isError(size) != 0U || size != value.size())
    {
        return leaf::new_error(frame_error::malformed);
    }
    return value;
}

} // namespace catkintally::wire
