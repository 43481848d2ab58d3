#include <catkintally/entry/http/chunk_scanner.hpp>

#include <algorithm>

namespace catkintally::entry
{

namespace
{

/// Keeps a size within 60 bits.
constexpr std::size_t max_digits = 15;

constexpr std::size_t max_trailer_bytes = 8'192;

/// Value of a hexadecimal digit, or 16.
std::uint64_t digit_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return static_cast<std::uint64_t>(c - '0');
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? static_cast<std::uint64_t>(lower - 'a') + 10 : 16;
}

} // namespace

chunk_scanner::chunk_scanner(std::uint64_t max_bytes, bool trailers)
    : max_bytes_(max_bytes)
    , trailers_(trailers)
{
}

chunk_state chunk_scanner::scan(std::string_view bytes)
{
    const std::size_t given = bytes.size();
    while (!bytes.empty() && state_ == chunk_state::more)
    {
        if (part_ == part::data)
        {
            const auto step = std::min<std::uint64_t>(size_, bytes.size());
            data_.append(bytes.substr(0, step));
            bytes.remove_prefix(step);
            size_ -= step;
            part_ = size_ == 0 ? part::data_end : part::data;
            continue;
        }
        scan_byte(bytes.front());
        bytes.remove_prefix(1);
    }
    used_ = given - bytes.size();
    return state_;
}

void chunk_scanner::scan_byte(char c)
{
    switch (part_)
    {
    case part::size:
        scan_size(c);
        break;
    case part::size_end:
        state_ = c == '\n' ? state_ : chunk_state::malformed;
        part_ = size_ == 0 ? part::trailer : part::data;
        break;
    case part::data_end:
        state_ = c == '\r' ? state_ : chunk_state::malformed;
        part_ = part::data_end_lf;
        break;
    case part::data_end_lf:
        state_ = c == '\n' ? state_ : chunk_state::malformed;
        part_ = part::size;
        digits_ = 0;
        break;
    case part::trailer:
    case part::trailer_end:
        scan_trailer(c);
        break;
    case part::data:
        break;
    }
}

void chunk_scanner::scan_size(char c)
{
    const std::uint64_t value = digit_value(c);
    if (value < 16 && digits_ < max_digits)
    {
        size_ = size_ * 16 + value;
        ++digits_;
        return;
    }
    if (c != '\r' || digits_ == 0)
    {
        state_ = chunk_state::malformed;
        return;
    }
    total_ += size_;
    state_ = total_ > max_bytes_ ? chunk_state::too_large : state_;
    part_ = part::size_end;
}

void chunk_scanner::scan_trailer(char c)
{
    if (part_ == part::trailer_end)
    {
        part_ = part::trailer;
        state_ = c != '\n' ? chunk_state::malformed : line_ == 0 ? chunk_state::done : state_;
        line_ = 0;
        return;
    }
    if (c == '\r')
    {
        part_ = part::trailer_end;
        return;
    }
    ++line_;
    if (!trailers_ || c == '\n' || ++trailer_bytes_ > max_trailer_bytes)
    {
        state_ = chunk_state::malformed;
    }
}

} // namespace catkintally::entry
