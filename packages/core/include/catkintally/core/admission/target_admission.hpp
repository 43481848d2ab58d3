#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/table/target_row.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <vector>

namespace catkintally::core
{

using wire::target_phase;

/// Places, phase and limit of one target.
class target_admission
{
public:
    explicit target_admission(target_row row)
        : row_(std::move(row))
    {
    }

    [[nodiscard]] const target_row& row() const { return row_; }
    [[nodiscard]] target_phase phase() const { return phase_; }
    [[nodiscard]] bool available() const { return available_; }
    [[nodiscard]] std::uint32_t in_flight() const
    {
        return static_cast<std::uint32_t>(running_.size());
    }

    /// Takes over the row. A target that becomes available, or whose address changed, is cold.
    void update(const target_row& row, bool available)
    {
        if (!available || !available_ || row.address != row_.address)
        {
            set_cold();
        }
        row_ = row;
        available_ = available;
    }

    /// Places that may be in use now.
    [[nodiscard]] std::uint32_t limit(std::uint32_t ahead) const
    {
        return phase_ == target_phase::warm ? row_.slots + ahead : limit_;
    }

    /// Counts a place.
    void add(request_id id) { running_.push_back(id); }

    /// Returns a place.
    void remove(request_id id) { std::erase(running_, id); }

    /// An answer in time: a cold target's limit grows.
    void succeeded()
    {
        if (phase_ == target_phase::cold && ++successes_ >= limit_)
        {
            successes_ = 0;
            if (++limit_ >= row_.slots)
            {
                phase_ = target_phase::warm;
            }
        }
    }

    /// Any trouble: back to one request.
    void set_cold()
    {
        phase_ = target_phase::cold;
        limit_ = 1;
        successes_ = 0;
    }

    /// Recovery: takes over phase and limit.
    void restore(target_phase phase, std::uint32_t limit)
    {
        phase_ = phase;
        limit_ = limit;
    }

private:
    target_row row_;
    bool available_ = false;
    target_phase phase_ = target_phase::cold;
    std::uint32_t limit_ = 1;
    std::uint32_t successes_ = 0;
    std::vector<request_id> running_;
};

} // namespace catkintally::core
