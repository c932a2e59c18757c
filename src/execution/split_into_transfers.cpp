#include "execution/split_into_transfers.hpp"

#include <utility>

namespace samphire
{

namespace
{

// Well below the frame limit of 8 MB, so that a message with records does not
// delay other messages for long.
constexpr std::size_t max_part_bytes = 1u << 20;
constexpr std::size_t max_part_records = 4096;

} // namespace

std::vector<record_transfer> split_into_transfers(
    daemon_id const& guard,
    incarnation guard_incarnation,
    ticket_epoch epoch,
    std::vector<answered_record> const& records)
{
    std::vector<record_transfer> result;
    std::vector<answered_record> part;
    std::size_t bytes = 0;
    for (answered_record const& record : records)
    {
        std::size_t const size =
            record.answer_ ? record.answer_->body_.size() : 0;
        bool const full = !part.empty() && (bytes + size > max_part_bytes ||
                                            part.size() >= max_part_records);
        if (full)
        {
            result.push_back(
                {guard,
                 guard_incarnation,
                 epoch,
                 std::exchange(part, {}),
                 records.size(),
                 false});
            bytes = 0;
        }
        part.push_back(record);
        bytes += size;
    }
    result.push_back(
        {guard,
         guard_incarnation,
         epoch,
         std::move(part),
         records.size(),
         true});
    return result;
}

} // namespace samphire
