#pragma once

#include <keys/key_book.h>

#include <wire/keys.pb.h>

#include <cstddef>

namespace camphorgrade::keys {

/** Digests of a book's two sets, bucket by bucket. */
wire::key_summary summarise(const key_book& book);

/**
 * All that the book has in buckets where its summary differs from `theirs`; whole buckets, as many
 * as fit a message, beginning with bucket `first` and going round.
 */
wire::key_news news_for(const key_book& book, const wire::key_summary& theirs, std::size_t first);

/** Fills the protobuf form of a record. */
void to_wire(const key_record& record, wire::key_record& out);

} // namespace camphorgrade::keys
