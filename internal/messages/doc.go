// Package messages has the types of the messages between nodes and of the records on
// disk, with their encoding in MessagePack. They are generated from api/messages.yaml,
// which describes the fields. Names and keys stay as earlier releases have them, since
// nodes of two releases talk to each other and stored records stay readable; fields
// that a node does not know are skipped. The package has no state.
package messages
