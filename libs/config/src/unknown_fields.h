#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/unknown_field_set.h>

namespace camphorgrade::config {

/** Whether `message` itself carries fields that this build does not know. */
inline bool has_unknown_fields(const google::protobuf::Message& message) {
    return !message.GetReflection()->GetUnknownFields(message).empty();
}

} // namespace camphorgrade::config
