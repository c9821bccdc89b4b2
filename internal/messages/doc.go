// Package messages defines the types of the messages between nodes and of the records on
// disk, with their encoding in MessagePack. They are generated from api/messages.yaml,
// which describes the fields. Names and keys must not change between releases, since
// nodes of different releases exchange messages and stored records must stay readable;
// decoding skips unknown fields. The package has no state.
package messages
