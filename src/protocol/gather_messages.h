#pragma once
// Delegated gather: a broker asks another one, which is nearer to the backends, to gather parts of
// a scattered request, and gets what came of them in one or more results.
// Threading: values without shared state.
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

struct GatherRequest {
  std::uint64_t token = 0;
  std::string method;
  std::string try_id;
  std::string request_head;  // request line and fields, for every part
  std::string body;
  std::vector<std::string> services;  // one for each part, by the index that results name
  std::uint64_t best_count = 1;       // records wanted
  std::uint64_t time_left = 0;        // milliseconds
  std::uint64_t flush_after = 0;      // milliseconds: then what is there is sent
};

// What came of the parts since the last result of this token.
struct GatherResult {
  struct CompletedPart {
    std::uint64_t part;    // index into GatherRequest::services
    std::string checksum;  // of the part's answer
  };
  struct FailedPart {
    std::uint64_t part;  // index into GatherRequest::services
    std::uint64_t kind;  // an ErrorCode
    bool may_have_run;
  };
  std::uint64_t token = 0;
  std::vector<CompletedPart> done;  // their greatest records are merged in `records`
  std::vector<FailedPart> failed;
  std::uint64_t processing_time = 0;  // milliseconds from the coming of the request to this frame
  std::string records;
};

// Nobody waits for the results of this gather any more: its client left. Goes over the connection
// of the request. A broker of an older build drops it and gathers on.
struct GatherCancel {
  std::uint64_t token = 0;  // of the GatherRequest
};

// Encode: a whole frame. Decode: reads what follows the head; false for bytes that are cut short or
// too long.
std::string encode(const FrameHead& head, const GatherRequest& request);
std::string encode(const FrameHead& head, const GatherResult& result);
std::string encode(const FrameHead& head, const GatherCancel& cancel);
bool decode(ByteReader& reader, GatherRequest& request);
bool decode(ByteReader& reader, GatherResult& result);
bool decode(ByteReader& reader, GatherCancel& cancel);

}  // namespace saddlewing
