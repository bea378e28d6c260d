#include "key_buckets.h"

#include <set>
#include <vector>

namespace camphorgrade::keys {
namespace {

constexpr std::size_t bucket_count = 256;
constexpr std::size_t target_news_bytes = 256U << 10U;
constexpr std::size_t record_bytes = 96; // of a typical record in a message

std::size_t bucket_of(std::string_view id) {
    return digest_part(id) % bucket_count;
}

std::uint64_t at(const google::protobuf::RepeatedField<std::uint64_t>& digests,
                 std::size_t bucket) {
    const auto index = static_cast<int>(bucket);
    return index < digests.size() ? digests.Get(index) : 0;
}

} // namespace

void to_wire(const key_record& record, wire::key_record& out) {
    out.ParseFromString(encode(record));
}

wire::key_summary summarise(const key_book& book) {
    std::vector<std::uint64_t> records(bucket_count);
    std::vector<std::uint64_t> withdrawn(bucket_count);
    for (const auto& [id, record] : book.records()) {
        records[bucket_of(id)] ^= digest_part(encode(record));
    }
    for (const key_id_text& id : book.withdrawn_ids()) {
        withdrawn[bucket_of(id)] ^= digest_part(id);
    }
    wire::key_summary summary;
    summary.mutable_records()->Assign(records.begin(), records.end());
    summary.mutable_withdrawn()->Assign(withdrawn.begin(), withdrawn.end());
    return summary;
}

wire::key_news news_for(const key_book& book, const wire::key_summary& theirs, std::size_t first) {
    const wire::key_summary ours = summarise(book);
    std::vector<std::vector<const key_record*>> records(bucket_count);
    std::vector<std::vector<const key_id_text*>> withdrawn(bucket_count);
    for (const auto& [id, record] : book.records()) {
        records[bucket_of(id)].push_back(&record);
    }
    for (const key_id_text& id : book.withdrawn_ids()) {
        withdrawn[bucket_of(id)].push_back(&id);
    }
    wire::key_news news;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < bucket_count && bytes < target_news_bytes; ++i) {
        const std::size_t bucket = (first + i) % bucket_count;
        if (at(ours.withdrawn(), bucket) != at(theirs.withdrawn(), bucket)) {
            for (const key_id_text* id : withdrawn[bucket]) {
                news.add_withdrawn(*id);
                bytes += id->size();
            }
        }
        if (at(ours.records(), bucket) != at(theirs.records(), bucket)) {
            for (const key_record* record : records[bucket]) {
                to_wire(*record, *news.add_records());
                bytes += record_bytes;
            }
        }
    }
    return news;
}

} // namespace camphorgrade::keys
