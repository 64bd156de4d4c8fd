//! Writes Arrow's IPC file format with a single record batch, as `arrow_ipc::writer::FileWriter` does for a batch in memory,
//! byte for byte. A batch is stored by columns, so that each buffer of a column is collected in a file of its own first.

use super::disk::Disk;
use super::output_file::{OutputFile, SpoolFile};
use arrow_ipc::convert::IpcSchemaEncoder;
use arrow_ipc::writer::{DictionaryTracker, FileWriter};
use arrow_ipc::{
    Block, Buffer, FieldNode, FooterBuilder, MessageBuilder, MessageHeader, MetadataVersion,
    RecordBatchBuilder,
};
use arrow_schema::{ArrowError, DataType, Field, Schema};
use flatbuffers::FlatBufferBuilder;
use std::io;

/// Alignment of messages and buffers, in bytes: the default of the writer in memory.
const ALIGNMENT: usize = 64;
const PADDING: [u8; ALIGNMENT] = [0; ALIGNMENT];
/// Precedes the length of a message's metadata.
const CONTINUATION_MARKER: [u8; 4] = [0xff; 4];
const MESSAGE_PREFIX_BYTES: usize = 8;
const MAGIC: &[u8] = b"ARROW1";

/// A column's value in one row.
pub(super) enum Value<'a> {
    Unsigned(u64),
    /// `None` is a null.
    Integer(Option<i64>),
    Boolean(bool),
    Text(&'a str),
}

/// Why a row cannot be added, or the file cannot be written.
#[derive(Debug)]
pub(super) enum ArrowFileError {
    /// The disk failed.
    Io(io::Error),
    /// The schema cannot be encoded, which is a bug in this program.
    Arrow(ArrowError),
    /// The texts of a column have 2 GiB or more together, which the format cannot hold.
    ColumnTooLong,
}

impl From<io::Error> for ArrowFileError {
    fn from(error: io::Error) -> Self {
        ArrowFileError::Io(error)
    }
}

impl From<ArrowError> for ArrowFileError {
    fn from(error: ArrowError) -> Self {
        ArrowFileError::Arrow(error)
    }
}

/// Bits that are packed into bytes, the first one in the lowest bit.
struct BitSpool {
    file: SpoolFile,
    byte: u8,
    bits: u32,
}

impl BitSpool {
    fn create(disk: &mut impl Disk, name: String) -> io::Result<Self> {
        Ok(BitSpool { file: SpoolFile::create(disk, name)?, byte: 0, bits: 0 })
    }

    fn push(&mut self, disk: &mut impl Disk, bit: bool) -> io::Result<()> {
        self.byte |= u8::from(bit) << self.bits;
        self.bits += 1;
        if self.bits == u8::BITS { self.flush(disk) } else { Ok(()) }
    }

    fn flush(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        if self.bits > 0 {
            self.file.write(disk, &[self.byte])?;
            (self.byte, self.bits) = (0, 0);
        }
        Ok(())
    }

    fn finish(mut self, disk: &mut impl Disk) -> io::Result<SpoolFile> {
        self.flush(disk)?;
        Ok(self.file)
    }
}

/// The values of a column.
enum Values {
    Fixed(SpoolFile),
    Bits(BitSpool),
    Text { offsets: SpoolFile, data: SpoolFile, end: i32 },
}

/// A column that is being collected.
struct Column {
    name: &'static str,
    data_type: DataType,
    values: Values,
    /// Which rows are not null.
    validity: BitSpool,
    nulls: i64,
}

impl Column {
    fn create(
        disk: &mut impl Disk,
        name: &'static str,
        data_type: DataType,
        spool_name: &impl Fn(&str) -> String,
    ) -> io::Result<Self> {
        let file_name = |buffer: &str| spool_name(&format!("{name}-{buffer}"));
        let values = match data_type {
            DataType::Utf8 => {
                let mut offsets = SpoolFile::create(disk, file_name("offsets"))?;
                offsets.write(disk, &0i32.to_le_bytes())?;
                Values::Text { offsets, data: SpoolFile::create(disk, file_name("data"))?, end: 0 }
            }
            DataType::Boolean => Values::Bits(BitSpool::create(disk, file_name("bits"))?),
            _ => Values::Fixed(SpoolFile::create(disk, file_name("values"))?),
        };
        let validity = BitSpool::create(disk, file_name("validity"))?;
        Ok(Column { name, data_type, values, validity, nulls: 0 })
    }

    fn push(&mut self, disk: &mut impl Disk, value: &Value<'_>) -> Result<(), ArrowFileError> {
        let is_null = matches!(value, Value::Integer(None));
        self.validity.push(disk, !is_null)?;
        self.nulls += i64::from(is_null);
        match (&mut self.values, value) {
            (Values::Fixed(file), Value::Unsigned(number)) => file.write(disk, &number.to_le_bytes())?,
            (Values::Fixed(file), Value::Integer(number)) => {
                file.write(disk, &number.unwrap_or_default().to_le_bytes())?;
            }
            (Values::Bits(bits), Value::Boolean(bit)) => bits.push(disk, *bit)?,
            (Values::Text { offsets, data, end }, Value::Text(text)) => {
                let length = i32::try_from(text.len()).ok();
                *end =
                    length.and_then(|length| end.checked_add(length)).ok_or(ArrowFileError::ColumnTooLong)?;
                data.write(disk, text.as_bytes())?;
                offsets.write(disk, &end.to_le_bytes())?;
            }
            _ => return Err(ArrowError::SchemaError(self.name.to_owned()).into()),
        }
        Ok(())
    }

    /// The buffers in the order of the format; a column without nulls has an empty one for the validity.
    fn finish(self, disk: &mut impl Disk) -> io::Result<Vec<Option<SpoolFile>>> {
        let validity = self.validity.finish(disk)?;
        let validity = if self.nulls > 0 {
            Some(validity)
        } else {
            validity.remove(disk)?;
            None
        };
        Ok(match self.values {
            Values::Fixed(file) => vec![validity, Some(file)],
            Values::Bits(bits) => vec![validity, Some(bits.finish(disk)?)],
            Values::Text { offsets, data, .. } => vec![validity, Some(offsets), Some(data)],
        })
    }
}

/// An Arrow file whose rows are being collected.
pub(super) struct ArrowFile {
    columns: Vec<Column>,
    rows: i64,
}

impl ArrowFile {
    /// Starts a file with columns of these names and types. `spool_name` makes the name of a temporary file.
    ///
    /// # Errors
    /// The disk failed.
    pub fn create(
        disk: &mut impl Disk,
        columns: impl IntoIterator<Item = (&'static str, DataType)>,
        spool_name: impl Fn(&str) -> String,
    ) -> Result<Self, ArrowFileError> {
        let mut created = Vec::new();
        for (name, data_type) in columns {
            created.push(Column::create(disk, name, data_type, &spool_name)?);
        }
        Ok(ArrowFile { columns: created, rows: 0 })
    }

    /// Adds a row with one value for each column.
    ///
    /// # Errors
    /// The disk failed, or a column is full.
    pub fn add_row(&mut self, disk: &mut impl Disk, values: &[Value<'_>]) -> Result<(), ArrowFileError> {
        self.rows += 1;
        for (column, value) in self.columns.iter_mut().zip(values) {
            column.push(disk, value)?;
        }
        Ok(())
    }

    /// Writes the complete file.
    ///
    /// # Errors
    /// The disk failed.
    pub fn finish(self, disk: &mut impl Disk, output: &mut OutputFile) -> Result<(), ArrowFileError> {
        // As in a batch in memory, a column is nullable if it has a null.
        let field = |column: &Column| Field::new(column.name, column.data_type.clone(), column.nulls > 0);
        let schema = Schema::new(self.columns.iter().map(field).collect::<Vec<Field>>());
        let start = FileWriter::try_new(Vec::new(), &schema)?.get_ref().clone();
        output.write(disk, &start)?;

        let nodes: Vec<FieldNode> =
            self.columns.iter().map(|column| FieldNode::new(self.rows, column.nulls)).collect();
        let mut files = Vec::new();
        for column in self.columns {
            files.extend(column.finish(disk)?);
        }
        let body = BatchBody::new(&files);
        let metadata = batch_metadata(self.rows, &nodes, &body);
        let metadata_bytes = write_metadata(disk, output, &metadata)?;
        for file in files.into_iter().flatten() {
            let padding = padding_after(file.length());
            file.move_into(disk, output)?;
            output.write(disk, &PADDING[..padding])?;
        }
        let block = Block::new(start.len() as i64, metadata_bytes as i32, body.length);
        Ok(write_end(disk, output, &schema, block)?)
    }
}

/// The positions of a batch's buffers.
struct BatchBody {
    buffers: Vec<Buffer>,
    length: i64,
}

impl BatchBody {
    fn new(files: &[Option<SpoolFile>]) -> Self {
        let mut body = BatchBody { buffers: Vec::new(), length: 0 };
        for file in files {
            let length = file.as_ref().map_or(0, SpoolFile::length);
            body.buffers.push(Buffer::new(body.length, length as i64));
            body.length += length as i64 + padding_after(length) as i64;
        }
        body
    }
}

/// Number of bytes after `length` bytes up to the next aligned position.
fn padding_after(length: u64) -> usize {
    (length.next_multiple_of(ALIGNMENT as u64) - length) as usize
}

/// The metadata of a record batch's message. The order of the calls is that of the writer in memory, as it decides the
/// bytes.
fn batch_metadata(rows: i64, nodes: &[FieldNode], body: &BatchBody) -> Vec<u8> {
    let mut builder = FlatBufferBuilder::new();
    let buffers = builder.create_vector(&body.buffers);
    let nodes = builder.create_vector(nodes);
    let mut batch = RecordBatchBuilder::new(&mut builder);
    batch.add_length(rows);
    batch.add_nodes(nodes);
    batch.add_buffers(buffers);
    let batch = batch.finish();
    let mut message = MessageBuilder::new(&mut builder);
    message.add_version(MetadataVersion::V5);
    message.add_header_type(MessageHeader::RecordBatch);
    message.add_bodyLength(body.length);
    message.add_header(batch.as_union_value());
    let message = message.finish();
    builder.finish(message, None);
    builder.finished_data().to_vec()
}

/// Writes the metadata of a message with its prefix and padding; returns the number of bytes.
fn write_metadata(disk: &mut impl Disk, output: &mut OutputFile, metadata: &[u8]) -> io::Result<usize> {
    let padded = (MESSAGE_PREFIX_BYTES + metadata.len()).next_multiple_of(ALIGNMENT);
    output.write(disk, &CONTINUATION_MARKER)?;
    output.write(disk, &((padded - MESSAGE_PREFIX_BYTES) as i32).to_le_bytes())?;
    output.write(disk, metadata)?;
    output.write(disk, &PADDING[..padded - MESSAGE_PREFIX_BYTES - metadata.len()])?;
    Ok(padded)
}

/// Writes the end of the stream and the footer, which has the position of the batch.
fn write_end(disk: &mut impl Disk, output: &mut OutputFile, schema: &Schema, block: Block) -> io::Result<()> {
    output.write(disk, &CONTINUATION_MARKER)?;
    output.write(disk, &0i32.to_le_bytes())?;
    let mut builder = FlatBufferBuilder::new();
    let dictionaries = builder.create_vector::<Block>(&[]);
    let batches = builder.create_vector(&[block]);
    let mut dictionary_tracker = DictionaryTracker::new(true);
    let schema = IpcSchemaEncoder::new()
        .with_dictionary_tracker(&mut dictionary_tracker)
        .schema_to_fb_offset(&mut builder, schema);
    let mut footer = FooterBuilder::new(&mut builder);
    footer.add_version(MetadataVersion::V5);
    footer.add_schema(schema);
    footer.add_dictionaries(dictionaries);
    footer.add_recordBatches(batches);
    let footer = footer.finish();
    builder.finish(footer, None);
    let footer = builder.finished_data();
    output.write(disk, footer)?;
    output.write(disk, &(footer.len() as i32).to_le_bytes())?;
    output.write(disk, MAGIC)
}
